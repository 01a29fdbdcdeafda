"""The deployments of examples/, with the addresses of the demo's processes."""

import json
import os
import re

SLOTS = 2
CONNECTIONS = 2000
INSTANCES = 7
EXAMPLES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                        "examples")
# Flows and mean milliseconds of a request, by the class of the service.
TRAFFIC = {"interactive": (150, 10), "bulk": (40, 20)}
COMMENT_OR_STRING = re.compile(r'//[^\n]*|("(?:\\.|[^"\\])*")')


def read_json_with_comments(path):
    with open(path, encoding="utf-8") as file:
        text = file.read()
    return json.loads(COMMENT_OR_STRING.sub(lambda m: m.group(1) or "", text))


class Service:
    def __init__(self, entry):
        self.id = entry["id"]
        self.name = entry["name"]
        self.flows, self.service_ms = TRAFFIC[entry["class"]]


class Upstream:
    """An upstream of the example; its addresses come from its child process."""

    def __init__(self, service, name, zone):
        self.service = service
        self.name = name
        self.zone = zone
        self.child = None
        # Added by the configuration change of the demo.
        self.is_added_later = False
        self.drained_at_ms = None

    @property
    def admin(self):
        return self.child.ready["admin"]


class Deployment:
    def __init__(self, name):
        folder = os.path.join(EXAMPLES, name)
        self.name = name
        self.base = read_json_with_comments(os.path.join(folder, "base.json"))
        self.zones = [zone["name"] for zone in self.base["zones"]]
        self.region = self.base["zones"][0]["region"]
        self.services = [Service(s) for s in self.base["services"]]
        self.overlays = {
            zone: read_json_with_comments(
                os.path.join(folder, "overlays", zone + ".json"))
            for zone in self.zones}
        self.upstreams = list(self.read_upstreams())
        # The second configuration change adds the last upstream of the first
        # service.
        [u for u in self.upstreams
         if u.service is self.services[0]][-1].is_added_later = True

    def read_upstreams(self):
        services = {service.name: service for service in self.services}
        for zone, overlay in self.overlays.items():
            for entry in overlay["services"]:
                for upstream in entry["upstreams"]:
                    yield Upstream(services[entry["name"]], upstream["name"],
                                   zone)

    def write_files(self, folder, with_added_upstream):
        """Writes a copy of the example with the addresses of the processes.
        Returns the options of `indigopoint apply` that name the files."""
        upstreams_by_name = {
            u.name: u for u in self.upstreams
            if with_added_upstream or not u.is_added_later}
        base = os.path.join(folder, "base.json")
        write_json(base, self.base)
        options = ["--base", base]
        for zone, overlay in self.overlays.items():
            path = os.path.join(folder, zone + ".json")
            write_json(path, {"services": [
                {"name": entry["name"],
                 "upstreams": [with_addresses(u, upstreams_by_name[u["name"]])
                               for u in entry["upstreams"]
                               if u["name"] in upstreams_by_name]}
                for entry in overlay["services"]]})
            options += ["--overlay", path]
        return options


def with_addresses(entry, upstream):
    return {**entry, "address": upstream.child.ready["address"],
            "admin": upstream.admin}


def write_json(path, document):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file, indent=2)


def names():
    return sorted(os.listdir(EXAMPLES)) if os.path.isdir(EXAMPLES) else []
