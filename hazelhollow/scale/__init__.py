"""Scale runs: what a limiter costs, by role, as the fleet and everything around it grow.

| modules | job |
| --- | --- |
| `plan`, `results`, `budgets`, `origin`, `errors` | what is measured, what was, against what |
| `coordinator`, `messages`, `worker`, `point_assembly` | the processes of a run |
| `fleet`, `hollow`, `incarnation_scheduler`, `network` | hollow limiters |
| `modelled_endpoints`, `load`, `settings`, `topology` | what surrounds hollow limiters |
| `clock`, `measure`, `agreement`, `truth` | time, meters, and the facts to compare with |
| `real` | the latency that one real limiter adds |
| `real_fleet`, `hollow_figures`, `fleet_comparison`, `comparison_plan` | real against hollow |
| `report` and `report_*`, `plots` | the capacity page |
| `commands`, `real_commands`, `report_commands` | the commands of `hazelhollow scale` |
"""
