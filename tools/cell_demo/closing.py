"""What the demo prints at its end."""
from demo_work import KINDS

OUTCOMES = ["in time", "late", "open", "refused", "in doubt"]
PROMISES = {
    "TWICE": "no task in two places, none again after its noted good end",
    "UNASKED": "nothing ran that no caller sent",
    "ORDER": "no step before those that it depends on",
    "LOST": "what was accepted was carried out and stayed known",
    "REFUSED": "no refused job ran",
    "MIXED": "succeeded means that every task ended well",
    "STATUS": "at the end one host coordinates and knows every worker",
}
LEFT_OUT = (
    "gangs, checkpoints, advice, evacuations, cut and slow links (tests/soak has links);\n"
    "  loads and slowdowns of serving tasks are the stand-ins' own, and all is on one machine"
)


def count(jobs):
    """The row of these jobs: sent = accepted + refused + in doubt, accepted = in time + late + open."""
    row = {outcome: 0 for outcome in OUTCOMES}
    for job in jobs:
        row[job.outcome()] += 1
    accepted = row["in time"] + row["late"] + row["open"]
    return {"sent": len(jobs), "accepted": accepted, **row}


def format_row(name, row):
    return f"  {name:<8}" + "".join(f"{value:>10}" for value in row)


def format_jobs(jobs):
    rows = {kind: count([job for job in jobs if job.kind == kind]) for kind in KINDS}
    rows["all"] = count(jobs)
    lines = [format_row("jobs", rows["all"])]
    lines += [format_row(name, row.values()) for name, row in rows.items()]
    return "\n".join(lines)


def format_promises(broken):
    lines = []
    for rule, text in PROMISES.items():
        times = sum(1 for fault in broken if fault.startswith(f"{rule}:"))
        verdict = f"BROKEN {times} times" if times else "held"
        lines.append(f"  {verdict:<8}  {text}")
    return "\n".join(lines + [f"    {fault}" for fault in broken[:5]])


def format_serving(samples):
    ratios = [ratio for sample in samples for ratio in sample.tail_ratios]
    good = sum(1 for ratio in ratios if ratio <= 1)
    share = 100 * good / len(ratios) if ratios else 0
    return f"serving tasks within their target in {share:.0f}% of {len(ratios)} looks"


def format_files(folder):
    return (
        f"  logs     {folder}/host-*.jsonl\n"
        f"  metrics  {folder}/host-*.metrics\n"
        f"  samples  {folder}/run.csv\n"
        f"  picture  {folder}/run.svg"
    )


def format_closing(jobs, samples, broken, folder):
    return "\n".join([
        "",
        format_jobs(jobs),
        "  in time: complete (serving: all at work) within the queue's objective",
        format_serving(samples),
        "promises",
        format_promises(broken),
        "files",
        format_files(folder),
        f"left out: {LEFT_OUT}",
    ])
