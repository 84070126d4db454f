"""Draws the run with gnuplot."""
import subprocess

LIMIT_S = 20
SCRIPT = """
set datafile separator ","
set terminal svg size 900,820 font "sans-serif,13" background "white"
set output "run.svg"
set key outside right top
set xrange [0:{end}]
set lmargin 9
set rmargin 24
set grid
set multiplot layout 4,1
set arrow 1 from {fault}, graph 0 to {fault}, graph 1 nohead lc rgb "red" dt 2
set title "Tasks at work (dashed: {label})"
plot "run.csv" using 1:2 skip 1 with lines lw 2 title "serving", \\
  "" using 1:3 skip 1 with lines lw 2 title "quick", \\
  "" using 1:4 skip 1 with lines lw 2 title "filling"
set title "Serving beside filling"
set yrange [0:2]
plot "run.csv" using 1:5 skip 1 with lines lw 2 title "worst tail / target", \\
  "" using 1:($6/100) skip 1 with lines lw 2 title "mean filling pace", \\
  1 with lines dt 3 lc rgb "black" title "target, full pace"
set autoscale y
set title "Jobs"
plot "run.csv" using 1:7 skip 1 with lines lw 2 title "accepted", \\
  "" using 1:8 skip 1 with lines lw 2 title "complete"
set title "Host that coordinates"
set yrange [-0.5:{hosts}-0.5]
set ytics 1
set xlabel "s"
plot "run.csv" using 1:9 skip 1 with points pt 7 ps 0.4 title "number of the host"
unset multiplot
"""


def draw(folder, end, fault, label, hosts):
    """Makes run.svg from run.csv; returns what went wrong, or an empty string."""
    script = SCRIPT.format(end=f"{end:.2f}", fault=f"{fault:.2f}", label=label, hosts=hosts)
    (folder / "run.gp").write_text(script)
    done = subprocess.run(["gnuplot", "run.gp"], cwd=folder, capture_output=True, text=True,
                          timeout=LIMIT_S, check=False)
    return done.stderr if done.returncode else ""
