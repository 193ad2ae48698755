"""Scale runs: what a limiter costs, by role, as the fleet and everything around it grow.

| modules | job |
| --- | --- |
| `plan`, `results`, `budgets`, `origin`, `errors` | what is measured, what was, against what |
| `coordinator`, `messages`, `worker`, `point_assembly` | the processes of a run |
| `fleet`, `hollow`, `network`, `load`, `settings`, `topology` | hollow limiters and their load |
| `clock`, `measure`, `agreement`, `truth` | time, meters, and the facts to compare with |
| `real`, `real_fleet` | the same figures from real processes |
| `report` and `report_*`, `plots` | the capacity page |
| `commands`, `real_commands`, `report_commands` | the commands of `hazelhollow scale` |
"""
