#!/usr/bin/env python3
"""The demo behind tools/run_demo: a region of three data centres, one trace, its outcomes."""
import sys

import cluster
import manifest
from http_calls import call
from programs import SOURCE, places, require


def main():
    scenario = sys.argv[1] if len(sys.argv) > 1 else "mastering"
    if scenario not in manifest.SERVICES:
        sys.exit(f"no trace {scenario!r}: choose one of cell, {', '.join(manifest.SERVICES)}")
    require(places())
    with cluster.Cluster(scenario) as region:
        print(f"started: the platform's stand-in, {len(region.executors)} executors, "
              f"{len(region.workers)} workers, {len(region.entries)} entries, "
              f"{len(region.schedulers)} schedulers")
        region.publish(region.manifest())
        print("published a generated manifest with figwinchctl; waiting for the entries")
        region.wait_ready()
        print(f"replaying traces/{scenario}.jsonl (about 20 s, jobs a little longer) ...")
        load = region.load(f"--trace={SOURCE}/traces/{scenario}.jsonl",
                           f"--expect={SOURCE}/traces/{scenario}.expected.json")
        status = load.popen.wait()
        print(load.text())
        served = sum(metric(entry, "figwinch_answers_total") for entry in region.entries)
        print(f"requests counted by the entries' own metrics: {served:.0f}")
        for daemon in region.daemons:
            print(f"SIGTERM to {daemon.node}: exit code {daemon.process.stop()}")
    print("every process has ended")
    sys.exit(status)


def metric(daemon, name):
    """The sum over all labels of one metric."""
    lines = call(daemon.http, "GET", "/metrics").body.splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))


if __name__ == "__main__":
    main()
