Feature: A router outlives clients that misbehave
  Guards against clients outside the operator's control that end a router's process, fill the memory of its VM, take its
  file descriptors, or leave it busy for so long that ordinary callers get no answer.

  The router may use 150 MB: the least memory for which the shares that body_memory.py states add up (60 MB of code and
  tables, and four copies of 15% of the memory). It may open 1200 descriptors, of which callers get 400.
  Clients whose connections are closed connect again for as long as the crowd lasts.

  # Guards against limits that a single client within the published limits meets.
  Scenario Outline: A single <request> within the limits is served in calm
    Given a router of 150 MB and 1200 descriptors without load
    When a single caller sends <request>
    Then it is answered with <status>

    Examples:
      | request                                    | status |
      | body of 11000000 bytes in one piece        | 200    |
      | body of 11000000 bytes in small pieces     | 200    |
      | body of 11000000 bytes in big chunks       | 200    |
      | body of 400000 bytes in chunks of one byte | 200    |
      | body of 12000000 bytes in one piece        | 503    |
      | body of 67108865 bytes in one piece        | 413    |
      | head of many fields                        | 200    |

  Scenario Outline: <count> clients that send <kind> to <place> leave the router alive and within its limits
    Given a router of 150 MB and 1200 descriptors
    When <count> clients send <kind> to <place>
    Then the router lives, and took at most 150 MB and 1200 descriptors
    And an ordinary request is answered

    Examples: A path with a route
      | count | kind                                  | place               |
      | 400   | bodies in one piece                   | a routed path       |
      | 400   | bodies in small pieces                | a routed path       |
      | 400   | bodies in big chunks                  | a routed path       |
      | 60    | bodies in chunks of one byte          | a routed path       |
      | 400   | bodies in chunks of one byte          | a routed path       |
      | 400   | bodies without end                    | a routed path       |
      | 400   | bodies that are declared too large    | a routed path       |
      | 400   | heads of many fields                  | a routed path       |
      | 400   | heads of many fields, held back       | a routed path       |
      | 400   | requests ahead                        | a routed path       |
      | 1300  | one byte at a time                    | a routed path       |
      | 1300  | half a request                        | a routed path       |
      | 400   | reads of large answers, read slowly   | a routed path       |
      | 400   | reads of large answers, never read    | a routed path       |
      | 1300  | all of these                          | a routed path       |

    Examples: Other paths and ports
      | count | kind                                  | place               |
      | 400   | bodies in chunks of one byte          | a path without a route |
      | 400   | heads of many fields                  | a path without a route |
      | 1300  | all of these                          | a path without a route |
      | 400   | heads of many fields                  | the readiness port  |
      | 1300  | half a request                        | the readiness port  |
      | 1300  | all of these                          | the readiness port  |
      | 1300  | all of these                          | the port for reports |
      | 400   | requests ahead                        | the port for metrics |
      | 1300  | all of these                          | the port for metrics |
      | 1300  | half a request                        | the port for peers  |
      | 1300  | all of these                          | the port for peers  |
      | 400   | frames between nodes, held back       | the port for peers  |
      | 1300  | all of these                          | all of these ports  |
