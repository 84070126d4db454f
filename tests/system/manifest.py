"""Generates the manifest of a small region, as the users' build pipeline would."""

SERVICES = {
    "mastering": [("reference-pass", "urgent"), ("approve-master", "urgent"),
                  ("check-delivery", "normal")],
    "log_yards": [("gate-ticket", "urgent"), ("volume-query", "normal")],
}
CUSTOMERS = {
    "mastering": ["studio-a", "studio-b", "studio-c"],
    "log_yards": ["haulier-norte", "haulier-sur", "sawmill-lugo"],
}


def generate(scenario, data_centres, executors, workers, worker_size):
    """`executors` and `workers`: lists of (data centre, name, address)."""
    return {
        "data_centres": [{"name": name, "state": "in"} for name in data_centres],
        "workers": [{"name": name, "data_centre": centre, "rack": f"{centre}-rack-1",
                     "address": address, "host": f"host-of-{name}", "capacity": worker_size}
                    for centre, name, address in workers],
        "executors": [{"name": name, "data_centre": centre, "rack": f"{centre}-rack-1",
                       "address": address, "host": f"host-of-{name}"}
                      for centre, name, address in executors],
        "services": [{"name": name, "request_class": request_class, "default_deadline_ms": 5000,
                      "latency_target_ms": 100} for name, request_class in SERVICES[scenario]],
        "customers": [{"name": name, "share": 1} for name in CUSTOMERS[scenario]],
    }
