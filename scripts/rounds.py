"""Runs days of one deployment with several seeds; see scripts/rounds."""

import argparse
import concurrent.futures
import json
import os
import re
import statistics
import subprocess
import sys

STANDARD = "trouble-1,trouble-2,trouble-3,scale-1,scale-2"
ROUND_LABEL = re.compile(r"^round (\S+)")
MAX_PRICES_SHOWN = 4


def entries(folder, site, label):
    """Returns the days of a round by (name, seed); a repeated day replaces the earlier one."""
    found = {}
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".json"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8") as entry:
            try:
                run = json.load(entry)
            except json.JSONDecodeError as problem:
                print(f"{name} is left out: {problem}", file=sys.stderr)
                continue
        why = ROUND_LABEL.match(run.get("why") or "")
        if run.get("cmd") != "run" or run.get("site") != site or not why or why[1] != label:
            continue
        for day in run.get("days") or []:
            found[day["name"], day["seed"]] = day
    return found


def deviation(values):
    return statistics.stdev(values) if len(values) > 1 else 0.0


def summary(days):
    """Aggregates runs of one day: worth, its deviation, mean of the worst windows, prices."""
    worths = [day["G"] for day in days]
    windows = [value for day in days for name, _, value in day["parts"] if name == "worst windows"]
    prices = {}
    for day in days:
        for name, _, price in day["prices"]:
            prices[name] = prices.get(name, 0) + price / len(days)
    broken = sorted({rule for day in days for rule in day["rules"]})
    gates = all(day["gate"] for day in days)
    return {
        "worth": statistics.mean(worths), "spread": deviation(worths),
        "windows": statistics.mean(windows) if windows else float("nan"),
        "prices": prices, "broken": broken, "gates": gates, "seeds": len(days),
    }


def print_table(days, before):
    """Prints the table; returns whether no rule was broken and every gate passed."""
    print(f"{'day':10} {'runs':>4} {'worth':>7} {'spread':>7} {'change':>7} {'windows':>8}  "
          "prices, rules")
    names = sorted({name for name, _ in days})
    clean = True
    means = []
    for name in names:
        totals = summary([day for (other, _), day in days.items() if other == name])
        # Only seeds that are in both rounds are compared.
        pairs = [(day["G"], before[key]["G"]) for key, day in days.items()
                 if key[0] == name and key in before]
        change = (f"{statistics.mean(new - old for new, old in pairs):+7.3f}" if pairs else
                  "    new")
        prices = sorted(totals["prices"].items(), key=lambda item: -item[1])[:MAX_PRICES_SHOWN]
        notes = [f"{price:.3f} {what}" for what, price in prices]
        notes += [f"BROKEN {rule}" for rule in totals["broken"]]
        notes += [] if totals["gates"] else ["GATE failed"]
        clean = clean and totals["gates"] and not totals["broken"]
        means.append(totals["worth"])
        print(f"{name:10} {totals['seeds']:4} {totals['worth']:7.3f} {totals['spread']:7.3f} "
              f"{change} "
              f"{totals['windows']:8.3f}  {'; '.join(notes)}")
    pairs = [(day["G"], before[key]["G"]) for key, day in days.items() if key in before]
    change = f"{statistics.mean(new - old for new, old in pairs):+.3f}" if pairs else "new"
    print(f"mean of days {statistics.mean(means):.3f}, change {change}")
    return clean


def run_day(arguments, name, seed):
    command = [arguments.bench, "run", arguments.site, name, "--seed", str(seed), "--why",
               f"round {arguments.label}"]
    return subprocess.run(command, check=False, capture_output=True, text=True)


def main():
    parser = argparse.ArgumentParser(description="Run days with several seeds as one round.")
    parser.add_argument("bench", help="path of the bench's executable")
    parser.add_argument("site", help="path of the deployment's file")
    parser.add_argument("--label", required=True, help="name of the round, without spaces")
    parser.add_argument("--against", default="", help="label of an earlier round")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--days", default=STANDARD)
    parser.add_argument("--jobs", type=int, default=3, help="number of days run in parallel")
    parser.add_argument("--keep", default="",
                        help="folder in which the reports of the runs are stored")
    parser.add_argument("--show", action="store_true", help="run nothing, print the round")
    arguments = parser.parse_args()
    site = os.path.splitext(os.path.basename(arguments.site))[0]
    failed = False
    if not arguments.show:
        if not os.access(arguments.bench, os.X_OK):
            sys.exit(f"{arguments.bench} is not executable: give the path of the users' bench")
        subprocess.run([arguments.bench, "build"], check=True, capture_output=True)
        runs = [(name, int(seed)) for name in arguments.days.split(",")
                for seed in arguments.seeds.split(",")]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            results = list(pool.map(lambda item: run_day(arguments, *item), runs))
        for (name, seed), run in zip(runs, results):
            if arguments.keep:
                path = os.path.join(arguments.keep, f"{arguments.label}-{name}-{seed}.txt")
                with open(path, "w", encoding="utf-8") as report:
                    report.write(run.stdout + run.stderr)
            if run.returncode != 0:
                print(f"{name} seed {seed} ended with {run.returncode}: {run.stderr[-300:]}")
                failed = True
    days = entries("journal", site, arguments.label)
    if not days:
        sys.exit(f"no entry of round {arguments.label} on {site} is in journal/")
    before = entries("journal", site, arguments.against) if arguments.against else {}
    clean = print_table(days, before)
    sys.exit(1 if failed or not clean else 0)


if __name__ == "__main__":
    main()
