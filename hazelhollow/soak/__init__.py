"""Real limiter processes under drawn load and faults, judged from outside.

| module | job |
| --- | --- |
| `rig` | limiter processes, endpoints and discovery of one run, on loopback |
| `answer_script` | what an endpoint writes for one request, step by step |
| `wire` | RESP2 as clients write and read it; shares no code with the limiter |
| `raw_client` | one client connection that is driven step by step |
"""
