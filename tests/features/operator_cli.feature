Feature: The operators' client reports by kept exit codes and one-line errors

  Scenario Outline: Exit codes and answers that the client's users rely on
    When hibiscusdrum is called with "<arguments>" and the daemon answers <status> <answer>
    Then the program ends with exit code <code> and prints "<text>"

    Examples:
      | arguments                             | status | answer                                                                      | code | text                               |
      | status                                | 200    | {"node":"n1","revision":3,"table_seq":9,"store_reachable":false,"lease_valid":true,"guard":"n2","targets":[],"owners":[{"node":"n1","service":"archiv","region":"ost","failure_domain":"ost-wien","slices":34,"guard":"n2","epoch":7}]} | 0 | n1    archiv   ost     ost-wien        34      n2     7 |
      | status --json                         | 200    | {"node":"n1","revision":3,"table_seq":9,"store_reachable":true,"lease_valid":true,"guard":"n2","targets":[],"owners":[]} | 0 | "table_seq":9 |
      | status                                | 200    | {"node":"n1"}                                                               | 3    | the answer of 127.0.0.1:8001 lacks |
      | status                                | 200    | not JSON                                                                    | 3    | node '127.0.0.1:8001' cannot be reached |
      | owner adler --service a --tenant b    | 200    | {"slice":5,"owner":"n1","epoch":7,"region":"ost"}                           | 0    | 5      n1     7      ost           |
      | owner adler --service a --tenant b    | 404    | {"code":"unknown_service","message":"service 'a' has no route","values":{}} | 1    | hibiscusdrum: service 'a' has no route (unknown_service, status 404) |
      | plans                                 | 401    | {"code":"unauthorized","message":"no key","values":{}}                      | 1    | no key (unauthorized, status 401)  |
      | plans                                 | 503    | {"code":"later_version","message":"two\nlines","values":{}}                 | 1    | hibiscusdrum: two lines (later_version, status 503) |
      | confirm p1                            | 409    | {"code":"revision_conflict","message":"plan 'p1' was made","values":{}}     | 4    | plan 'p1' was made                 |
      | status --daemon router:80             | 200    | {}                                                                          | 2    | daemon='router:80' is not valid    |
      | plan create-tenant t --class-weights a | 200   | {}                                                                          | 2    | class-weights='a' is not valid     |
      | plan paint wall                       | 200    | {}                                                                          | 2    | invalid choice                     |
      | confirm                               | 200    | {}                                                                          | 2    | required                           |
      | --version                             | 200    | {}                                                                          | 0    | hibiscusdrum 0                     |

  Scenario Outline: A daemon that cannot be reached gives exit code 3, and a lost confirm is not called undone
    When hibiscusdrum is called with "<arguments>" and the connection fails by <failure>
    Then the program ends with exit code 3 and prints "<text>"

    Examples:
      | arguments  | failure                | text                                   |
      | status     | ConnectionRefusedError | node '127.0.0.1:8001' cannot be reached |
      | status     | TimeoutError           | node '127.0.0.1:8001' cannot be reached |
      | confirm p1 | ConnectionRefusedError | node '127.0.0.1:8001' cannot be reached |
      | confirm p1 | ConnectionResetError   | outcome of request p1 is unknown        |
      | confirm p1 | TimeoutError           | outcome of request p1 is unknown        |

  Scenario: The client reads what the operators' API writes
    Given a table service and daemons "d1" and "d2" with a route and two tenants
    When hibiscusdrum plans, lists, confirms and watches each kind of intent at "d1"
    Then every command ended with exit code 0 and the table holds all changes

  Scenario: A watch that sees no acceptance ends with exit code 1
    Given a table service and daemons "d1" and "d2" with a route and two tenants
    When hibiscusdrum watches a plan at "d1" that is never accepted
    Then the program ends with exit code 1 and prints "not yet acknowledged by: n1, n2"

  Scenario: The shared key travels as a header and is not printed
    When hibiscusdrum is called with a shared key in its environment
    Then the request carried the header and the output does not hold the key

  Scenario Outline: The logs of several nodes tell what ended a request
    Given the logs of two nodes and a file that is no log
    When the client explains request "<id>"
    Then the program ends with exit code <code> and prints "<text>"

    Examples:
      | id    | code | text                                              |
      | 9c41d | 0    | 1 vm-a request_repeated; 2 vm-b request_declined; 3 vm-a request_ended |
      | 9c41d | 0    | ended with 502 because of 'target_closed'         |
      | 9c42e | 0    | no final answer is logged                         |
      | 9c4   | 1    | no line names request '9c4'                       |

  Scenario Outline: The on-call page shows what the client tells of recorded requests
    Given the recorded logs of failed requests
    When the client explains request "<id>"
    Then the page shows its output, and the cause is "<reason>"

    Examples:
      | id                                | reason       |
      | 5104141db72328b2                  | not_owner    |
      | e662921d7763c5de.4290ac87a8e0431e | target_closed |
      | b2233add42d92d9a                  | peer_removed |

  Scenario: One query over all logs tells which client errors the routers answered themselves
    Given the logs of two nodes that answered client errors
    When the client tallies the client errors
    Then it prints these rows
      """
      400 incomplete version 3: 1  confirmed <1s:1  nodes 1, most vm-b:1
      404 no_route version 2: 3  confirmed <1s:1 >=8s:2  nodes 2, most vm-a:2
      404 no_route version 3: 1  confirmed <4s:1  nodes 1, most vm-b:1
      """
