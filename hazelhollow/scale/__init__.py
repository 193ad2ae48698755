"""Scale runs: what a limiter costs by role as the fleet and everything around it grow.

| modules | job |
| --- | --- |
| `plan`, `results`, `budgets`, `origin`, `errors` | plans, results, budgets and errors |
| `coordinator`, `messages`, `worker`, `point_assembly` | the processes of a run |
| `fleet`, `hollow`, `incarnation_scheduler`, `network` | hollow limiters |
| `modelled_endpoints`, `load`, `settings`, `topology` | the environment of hollow limiters |
| `clock`, `measure`, `agreement`, `truth` | the dilated clock, meters, and the ground truth |
| `real` | the latency that one real limiter adds |
| `real_fleet`, `hollow_figures`, `fleet_comparison`, `comparison_plan` | real and hollow fleets |
| `report` and `report_*`, `plots` | the capacity page |
| `commands`, `real_commands`, `report_commands` | the commands of `hazelhollow scale` |
"""
