"""Draws comparisons of variants as an SVG picture."""

from html import escape

ROW_HEIGHT, LABEL_WIDTH, PLOT_WIDTH, MARGIN = 18, 300, 520, 30
# Two standard errors on each side hold the true change in 19 of 20 cases.
ERRORS_SHOWN = 2
MIN_SCALE = 0.005


def draw(table):
    """Returns a picture with a row for each comparison: the change of worth against the
    baseline, with its error."""
    scale = max([MIN_SCALE, *(abs(row.change) + ERRORS_SHOWN * row.error for row in table)])

    def x(change):
        return LABEL_WIDTH + PLOT_WIDTH / 2 * (1 + change / scale)

    height = MARGIN * 2 + ROW_HEIGHT * len(table)
    width = LABEL_WIDTH + PLOT_WIDTH + MARGIN
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
             'font-family="sans-serif" font-size="11">',
             f'<rect width="{width}" height="{height}" fill="white"/>',
             f'<text x="{LABEL_WIDTH}" y="16">Change of worth against the baseline, '
             f'with {ERRORS_SHOWN} standard errors</text>']
    for tick in (-scale, -scale / 2, 0, scale / 2, scale):
        parts.append(f'<line x1="{x(tick):.1f}" x2="{x(tick):.1f}" y1="{MARGIN}" '
                     f'y2="{height - MARGIN}" stroke="{"black" if tick == 0 else "lightgray"}"/>')
        parts.append(f'<text x="{x(tick):.1f}" y="{height - 12}" text-anchor="middle">'
                     f'{tick:+.4f}</text>')
    for number, row in enumerate(table):
        y = MARGIN + ROW_HEIGHT * (number + 0.5)
        color = "firebrick" if row.broken else "steelblue"
        low, high = row.change - ERRORS_SHOWN * row.error, row.change + ERRORS_SHOWN * row.error
        parts.append(f'<text x="6" y="{y + 4:.1f}">{escape(row.site)}: '
                     f'{escape(row.variant)}</text>')
        parts.append(f'<line x1="{x(low):.1f}" x2="{x(high):.1f}" y1="{y:.1f}" y2="{y:.1f}" '
                     f'stroke="{color}" stroke-width="2"/>')
        parts.append(f'<circle cx="{x(row.change):.1f}" cy="{y:.1f}" r="4" fill="{color}"/>')
    parts.append("</svg>")
    return "\n".join(parts) + "\n"
