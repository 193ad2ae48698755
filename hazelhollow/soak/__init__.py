"""Real limiter processes under drawn load and faults, judged from outside.

| module | job |
| --- | --- |
| `plan` | what a run does, drawn from a seed |
| `run` | plays a plan |
| `clients` | what clients of a run send, and what they were answered |
| `record` | what a run has seen |
| `checker` | judges a record; shares no code with the limiter |
| `commands` | the commands |
| `rig` | limiter processes, endpoints and discovery of one run, on loopback |
| `wire` | RESP2 as clients write and read it; shares no code with the limiter |
| `raw_client` | one client connection that is driven step by step |
"""
