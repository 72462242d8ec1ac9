Feature: The entry reads requests as they were meant, answers in order, and bounds what callers may take
  Guards against smuggled requests, answers to the wrong request, and callers that hold a daemon up.

  Scenario Outline: A connection that sends <input> gets <answers>
    Given an entry that echoes path and body
    When a caller sends "<input>"
    Then the caller gets the answers "<answers>"

    Examples:
      | input                           | answers                  |
      | one request                     | 200 /a                   |
      | one request byte by byte        | 200 /a                   |
      | a body in chunks                | 200 /a hello             |
      | a body with a length            | 200 /a hello             |
      | three requests at once          | 200 /a; 200 /b; 200 /c   |
      | a length and chunks             | 400                      |
      | two lengths                     | 400                      |
      | a bad chunk                     | 400                      |
      | no protocol                     | 400                      |
      | a head that is too large        | 431                      |
      | a body that is declared too large | 413                    |
      | chunks that are too many        | 413                      |
      | a HEAD request                  | 200                      |
      | a request that asks to close    | 200 /a                   |

  Scenario Outline: The limits on callers do not bind the address for <use>
    Given an entry that serves reports, readiness and metrics besides its callers
    When a request beyond the limits on callers is sent slowly for <use>, and another one after a pause
    Then both requests are answered

    Examples:
      | use       |
      | reports   |
      | readiness |
      | metrics   |

  Scenario: Answers leave in the order of the requests
    Given an entry that answers the first of three requests last
    When a caller sends "three requests at once"
    Then the caller gets the answers "200 /a; 200 /b; 200 /c"

  Scenario: A request that must not be repeated waits for the answers before it
    Given an entry that answers nothing yet
    When a caller sends "a read, a post and a read"
    Then only the read before the post was handed over
    When the first request is answered
    Then only the post was handed over after that

  Scenario Outline: An answer that announces the close drops no request that was received behind it
    Given an entry that closes the connection with each answer
    When a caller sends "<input>"
    Then the caller gets the answers "200 /a; 200 /b; 200 /c"
    And only the last answer announces the close

    Examples:
      | input                                 |
      | three requests at once                |
      | two requests and a part of a third    |

  Scenario: Input that waited behind a full pipeline is read before input that arrives as the pipeline has room again
    Given an entry that answers nothing yet
    When a caller sends 16 requests, then half of another, and the other half as the first request is answered
    Then the requests were handed over as they were sent, and none was rejected

  Scenario: A request that takes longer than a second is answered although invalid input follows it
    Given an entry that answers each request after 1.4 s
    When a caller sends "a request and no protocol" and waits for 3 s
    Then the caller gets the answers "200 /a; 400"

  Scenario: A caller that waits for an interim response behind another request gets it once that is answered
    Given an entry that answers each request after 0.3 s
    When a caller sends a request, and another whose body it sends after an interim response
    Then the caller gets the answers "200 /a; 200 /a hello"
    And the interim response came between them

  Scenario: A request that has arrived when its connection's idle time ends is answered
    Given an entry that echoes path and body
    When a request arrives on a connection that was idle for longer than the limit, just before that is checked
    Then the caller gets the answers "200 /a"

  # Guards against answers that are dropped because the end of a caller's input counts as its end.
  Scenario Outline: A caller that closes its sending direction after <input> gets the answers to it
    Given an entry that answers each request after <seconds> s
    When a caller sends "<input>", closes its sending direction, and waits for 3 s
    Then the caller gets the answers "<answers>"
    And its connection is closed after them

    Examples:
      | input                              | seconds | answers                |
      | one request                        | 0       | 200 /a                 |
      | one request                        | 1.4     | 200 /a                 |
      | a body in chunks                   | 0.7     | 200 /a hello           |
      | three requests at once             | 0.7     | 200 /a; 200 /b; 200 /c |
      | a read, a post and a read          | 0.3     | 200 /r; 200 /a hello; 200 /c |
      | 40 requests at once                | 0.1     | 200 for each of the 40 |
      | a request and a part of another    | 0.3     | 200 /a; 400            |

  Scenario: A caller that closes its sending direction and reads slowly gets its whole answer
    Given an entry that answers 16 MB
    When a caller sends "one request", closes its sending direction, and reads from 0.3 s later on
    Then it gets the whole answer

  Scenario: The departure of a caller that had closed its sending direction before is reported
    Given an entry that answers nothing yet
    When a caller sends "one request", closes its sending direction, and leaves 0.7 s later
    Then the departure is reported within 0.5 s, and not before

  Scenario: A caller of HTTP/1.0 that closes its sending direction gets its answer and no interim one
    Given an entry that answers each request after 0.7 s
    When a caller sends "a request of HTTP/1.0", closes its sending direction, and waits for 3 s
    Then the caller gets the answers "200 /a"
    And it got no interim response

  Scenario: A caller's departure is reported
    Given an entry that answers nothing yet
    When a caller sends "one request" and leaves
    Then the departure is reported within 0.5 s

  Scenario: A slow head is refused and an idle connection is closed
    Given an entry that echoes path and body
    When a caller sends "half a head" and waits for 1 s
    Then the caller gets the answers "408"
    When a caller is idle for longer than the limit
    Then its connection is closed without an answer

  # Guards against requests that are never answered, because each refusal that is given at once calls the next.
  Scenario: A long pipeline is answered whole and in order, and others are served meanwhile
    Given an entry that serves each third request later and refuses the others at once
    When a caller sends 10000 requests on one connection, while another sends one after the other
    Then each of the 10000 is answered, in order
    And at most 64 of them were held at a time
    And the other caller waited at most 0.5 s for an answer

  # Guards against requests that are dropped although they were received whole, and against work for callers that have left.
  Scenario Outline: Requests of <bytes> bytes that wait for room in the pipeline as their caller closes its sending direction are answered
    Given an entry that answers the first request after 0.2 s and the others at once
    When a caller sends 64 requests of <bytes> bytes at once, and closes its sending direction
    Then it gets 64 answers

    Examples:
      | bytes |
      | 64    |
      | 128   |

  Scenario: The departure of a caller is reported although reading from it has paused
    Given an entry that answers nothing yet
    When a caller sends requests until reading from it pauses, and leaves
    Then the departure is reported within 0.5 s

  Scenario: A half-closed caller of HTTP/1.0 that resets its connection is reported
    Given an entry that answers nothing yet
    When a caller sends "a request of HTTP/1.0", closes its sending direction, and resets its connection
    Then the departure is reported within 0.5 s

  Scenario: Input that waits for room in the pipeline stays within its limit
    Given an entry that answers each request after 0.001 s
    When a caller sends small requests for 2 s without a pause, and reads the answers
    Then at most one read beyond the limit of waiting input was held

  Scenario: A last answer is read whole although its caller sends another request late and reads slowly
    Given an entry that answers 1 MB, closes the connection, and allows 3 s without progress
    When a caller sends "one request", sends it again 1.5 s later, and only then reads
    Then it gets the whole answer of 1 MB

  Scenario: A caller of HTTP/1.0 that expects 100-continue gets no interim response
    Given an entry that echoes path and body
    When a caller sends "a post of HTTP/1.0 that expects 100-continue"
    Then the caller gets the answers "200 /a hello"
    And it got no interim response

  Scenario: A request that offers an upgrade gets one answer
    Given an entry that echoes path and body
    When a caller sends "a request that offers an upgrade"
    Then the caller gets the answers "200 /a"

  Scenario: The end of a connection whose answer was not read is counted
    Given an entry that answers 16 MB
    When a caller sends "one request", and reads nothing until its connection is closed
    Then the connection is counted as lost

  Scenario: A request is answered although an upload behind it is refused and goes on
    Given an entry that answers each request after 0.7 s
    When a caller sends a read, and behind it 3 MB of an upload that is too large
    Then the read is answered with 200

  Scenario: Answers that announce the close drop no request that was received with them in one read
    Given an entry that closes the connection with each answer
    When a caller sends 64 requests of 64 bytes at once
    Then each of the 64 requests was answered

  # Guards against callers that keep all descriptors, and against a listener that is polled without effect.
  Scenario: At the limit of connections only a caller that is owed nothing loses its connection
    Given an entry for at most 4 callers that answers all but "/held" at once
    When callers connect that have "one request" answered, "a held request" unanswered and "half a head" sent
    And 2 more callers connect and send "one request" 0.15 s after that
    Then each of the 2 is answered, and only the first caller has lost its connection
    And the entry has closed 2 idle connections and failed to accept 0 times

  Scenario: Callers beyond the limit wait until another leaves if none is idle
    Given an entry for at most 2 callers that answers all but "/held" at once
    When 3 callers each send "a held request"
    Then 2 of the requests are handed over in the next 0.3 s
    When the first of these callers leaves
    Then 3 of the requests are handed over in the next 0.3 s

  Scenario: An entry that has no free descriptor tries again at intervals
    Given an entry that echoes path and body, and has no free descriptor for callers
    When a caller sends "one request" and waits for 3 s while the entry has none for 0.5 s
    Then the caller gets the answers "200 /a"
    And the entry has tried at most 12 times to accept it
