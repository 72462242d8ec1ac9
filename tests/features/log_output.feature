Feature: The reader of a process's log lines costs no request
  Guards against a process that waits for, or is ended by, a reader of its output that is slow or gone.

  Scenario Outline: A reader of a router's output that <manner> costs no request
    Given a router whose output goes to a pipe with a reader that <manner>
    When 100 requests are sent to the router, of which each ends with a log line
    Then each of them is answered within 0.5 s, and the router still runs

    Examples:
      | manner                 |
      | never reads            |
      | has closed the pipe    |
      | closed it at the start |

  Scenario: A reader of a daemon's output that never reads costs no request
    Given a daemon whose output goes to a pipe with a reader that never reads
    Then the daemon joins and serves HTTP requests
