"""Scores the regression set; see scripts/regress."""

import argparse
import json
import os
import subprocess
import sys

# These replace the two oldest deployments, sites/poklop-brno and sites/tpawa-match.
DEPLOYMENTS = (
    "further/rindang-jawa",
    "further-grown/rindang-jawa-grown",
    "large/poklop-brno-large",
    "grown/poklop-brno-grown",
    "grown/tpawa-match-grown",
)


def entries(folder, site):
    """Returns the (file name, score) pairs of a deployment in journal/, oldest first."""
    found = []
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".json"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8") as entry:
            try:
                score = json.load(entry)
            except json.JSONDecodeError as problem:
                print(f"{name} is left out: {problem}", file=sys.stderr)
                continue
        if score.get("cmd") == "score" and score.get("site") == site and score.get("days"):
            found.append((name, score))
    return found


def committed_files(names):
    """Returns those of the given files that are in the git index."""
    listed = subprocess.run(["git", "ls-files", "--error-unmatch", *names], check=False,
                            capture_output=True, text=True)
    return set(listed.stdout.split())


def mean_worth(score):
    """Returns the mean worth of the days named trouble... and scale...."""
    days = [day["G"] for day in score["days"] if day["name"].startswith(("trouble", "scale"))]
    return sum(days) / len(days) if days else float("nan")


def table_row(site, before, after):
    broken = sorted({f"{day['name']}:{rule}" for day in after["days"] for rule in day["rules"]})
    gate = "passed" if all(day["gate"] for day in after["days"]) else "failed"
    change = f"{mean_worth(after) - mean_worth(before):+.3f}" if before else "new"
    return (f"{site:34} {gate:7} {mean_worth(after):6.3f} {change:>7}  "
            f"{', '.join(broken) or 'none'}")


def main():
    parser = argparse.ArgumentParser(description="Score the regression set on the users' bench.")
    parser.add_argument("bench", help="path of the bench's executable")
    parser.add_argument("sites", help="folder that holds the deployments' folders")
    parser.add_argument("--jobs", type=int, default=3, help="number of days run in parallel")
    parser.add_argument("--only", default="",
                        help="score only deployments whose names contain this")
    arguments = parser.parse_args()
    if not os.access(arguments.bench, os.X_OK):
        sys.exit(f"{arguments.bench} is not executable: give the path of the users' bench")
    selected = [name for name in DEPLOYMENTS if arguments.only in name]
    missing = [name for name in selected
               if not os.path.exists(os.path.join(arguments.sites, name + ".toml"))]
    if missing or not selected:
        sys.exit(f"not found under {arguments.sites}: {', '.join(missing) or arguments.only}; "
                 "give the folder that holds further/, large/ and the others")
    print(f"{'deployment':34} {'gate':7} {'worth':>6} {'change':>7}  rules broken")
    failed = False
    for name in selected:
        site = name.split("/")[1]
        known = entries("journal", site)
        committed = committed_files([f"journal/{entry}" for entry, _ in known])
        before = [score for entry, score in known if f"journal/{entry}" in committed]
        completed = subprocess.run(
            [arguments.bench, "score", os.path.join(arguments.sites, name + ".toml"), "--jobs",
             str(arguments.jobs), "--why", "regression set"],
            check=False, capture_output=True, text=True)
        new_scores = [score for entry, score in entries("journal", site)
                      if entry not in {item for item, _ in known}]
        if not new_scores:
            print(f"{name:34} not scored: {completed.stdout[-300:]}{completed.stderr[-300:]}")
            failed = True
            continue
        print(table_row(name, before[-1] if before else None, new_scores[-1]), flush=True)
        failed = failed or not all(day["gate"] for day in new_scores[-1]["days"])
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
