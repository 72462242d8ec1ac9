Feature: Bytes without end are cut off before they fill a process
  Guards against a target, or whatever reports in its name, that sends a head, a body or framing which never ends,
  faster than any time limit ends it.

  Scenario Outline: A target's answer without end, in <part>, is given up as malformed
    Given a target whose answers hold <part> without end
    When a request with a timeout of 15 s is sent to it
    Then the result is malformed within 12 s
    And the target could send at most <most> MB before the connection was closed

    Examples:
      | part                     | most |
      | a header value           | 2    |
      | a header name            | 2    |
      | headers                  | 2    |
      | a reason phrase          | 2    |
      | blank lines              | 2    |
      | informational answers    | 2    |
      | a chunk extension        | 2    |
      | the size of a chunk      | 2    |
      | a trailer value          | 2    |
      | trailers                 | 2    |
      | a body in chunks         | 24   |
      | a body without a length  | 24   |
      | answers to other requests | 24  |

  Scenario: Several endless bodies at once stay within the memory of one
    Given a target whose answers hold a body without a length without end
    When 8 requests with a timeout of 30 s are sent to it at once
    Then all results are malformed within 25 s
    And at most 40 MB of bodies were held at any time

  Scenario: An answer that nobody waits for any more is not read on
    Given a target whose answers hold a body in chunks without end, at a slow pace
    When a request is sent to it and its caller leaves after 0.2 s
    Then the connection is closed within 0.5 s

  Scenario Outline: A report without end, in <part>, is refused
    Given an entry that bounds heads to 2000 bytes and bodies to 5000
    When a report arrives with <part> without end
    Then it is answered with <status>, and the connection is closed before 2 MB were taken

    Examples:
      | part              | status |
      | a header value    | 431    |
      | a header name     | 431    |
      | headers           | 431    |
      | a request line    | 431    |
      | blank lines       | 431    |
      | a chunk extension | 400    |
      | the size of a chunk | 400  |
      | a trailer value   | 400    |
      | a body in chunks  | 413    |

  Scenario: Requests without end behind one that is not answered are left in the socket
    Given an entry that answers nothing and bounds heads to 2000 bytes
    When reads without end arrive on one connection
    Then at most 1 MB of them is taken, and the departure of the caller is noticed after the answers

  Scenario: A caller that does not read its answers is disconnected before these fill the process
    Given an entry that may hold 3 MB of bodies
    When 6 callers ask for answers of 1 MB without reading them, and one reads its own
    Then at most 4 MB of bodies were held at any time
    And the caller that reads has its whole answer

  Scenario: Request bodies that do not fit beside others are rejected as not run
    Given an entry that may hold 3 MB of bodies
    When 6 callers send 1 MB of a body of 1.2 MB each
    Then at most 4 MB of bodies were held at any time
    And at least 3 callers got 503, and none of their requests was handled
