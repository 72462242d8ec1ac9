Feature: A daemon survives whatever a caller, peer or operator sends
  Guards against a daemon that dies, changes state or gives an untyped answer after malformed input.

  Scenario Outline: Malformed HTTP input gets a typed error: <case>
    Given a running daemon of region "ost"
    When the HTTP request "<case>" is sent to the daemon
    Then the daemon answers <status> with code "<code>" that names "<value>"
    And the daemon still serves its keys and has logged no internal error

    Examples:
      | case                    | status | code             | value            |
      | unknown service         | 404    | unknown_service  | nonesuch         |
      | unknown tenant          | 404    | unknown_tenant   | stranger         |
      | missing key             | 400    | invalid_argument | key              |
      | malformed request id    | 400    | invalid_argument | not-a-uuid       |
      | malformed timeout       | 400    | invalid_argument | soon             |
      | negative timeout        | 400    | invalid_argument | -1               |
      | unknown path            | 404    | not_found        | /nowhere         |
      | foreign announcement    | 400    | invalid_argument | galeria          |
      | malformed announcement  | 400    | invalid_argument | announcement     |
      | no operator key         | 401    | unauthorized     | operator         |
      | wrong operator key      | 401    | unauthorized     | operator         |
      | unknown intent          | 400    | invalid_argument | paint            |
      | unknown intent field    | 400    | invalid_argument | colour           |
      | unknown plan            | 404    | not_found        | nosuchplan       |
      | oversize body           | 413    | body_too_large   | 2000000          |
      | oversize body, unsent   | 413    | body_too_large   | 2000000          |
      | other region            | 421    | wrong_region     | west             |
      | other region, unsent    | 421    | wrong_region     | west             |

  Scenario Outline: Malformed messages from peers and callers are dropped: <frames>
    Given a running daemon of region "ost"
    When a peer sends the frames "<frames>"
    Then the daemon still serves its keys and has logged no internal error

    Examples:
      | frames                 |
      | empty                  |
      | one frame              |
      | unknown kind           |
      | random request bytes   |
      | random control bytes   |
      | unsigned control       |
      | call with wrong types  |
      | call with no time left |
      | 1000 random messages   |

  Scenario Outline: A taken address is named and ends the daemon with an error: <address>
    Given a running daemon of region "ost"
    When a second daemon is started on the same <address> address
    Then it ends with exit code 1 and names the <address> address

    Examples:
      | address |
      | peer    |
      | http    |

  Scenario: A signal to reload the settings does not end a daemon
    Given a running daemon of region "ost"
    When the other daemon gets SIGHUP while HTTP requests are sent to it
    Then each HTTP request was answered, or refused as not run
    And the other daemon still runs

  Scenario: A daemon that stops answers its HTTP callers or tells them that nothing ran
    Given a running daemon of region "ost"
    When the other daemon is stopped while HTTP requests are sent to it
    Then each HTTP request was answered, or refused as not run

  # The first example shows that the request is answered at all.
  Scenario Outline: An HTTP caller that <manner> gets its answer
    Given a running daemon of region "ost"
    When a caller sends a request for a key to the daemon and <manner>
    Then it gets an answer with status 200 within 3 s

    Examples:
      | manner                       |
      | keeps its connection open    |
      | closes its sending direction |

  Scenario Outline: A caller that closes its sending direction after its request gets the answer: <case>
    Given a running daemon of region "ost"
    When a caller sends the request "<case>" and closes its sending direction
    Then it gets one whole answer with status <status>, and the connection ends
    And the daemon still serves its keys and has logged no internal error

    Examples:
      | case              | status |
      | GET               | 200    |
      | POST              | 200    |
      | POST in two parts | 200    |
      | slow GET          | 200    |
      | slow POST         | 200    |
      | unknown path      | 404    |

  Scenario: A request that follows a HEAD request on the same connection gets its own answer
    Given a running daemon of region "ost"
    When a caller sends a HEAD request, a GET request and a HEAD request after which it closes the connection
    Then the three answers name the same length, only the second has a body, and the connection ends

  Scenario: A caller that closes its sending direction within a request is disconnected
    Given a running daemon of region "ost"
    When a caller sends the request "POST without its body" and closes its sending direction
    Then the connection ends without an answer
    And the daemon still serves its keys and has logged no internal error

  Scenario: Callers that reset their connections within a body leave nothing in the daemon's memory
    Given a running daemon of region "ost"
    When 60 callers send 900000 bytes of a longer body and reset their connections
    Then the daemon's memory has grown by less than 20 MB
    And the daemon still serves its keys and has logged no internal error

  Scenario: A caller that closes its socket while its request runs does not disturb the daemon
    Given a running daemon of region "ost"
    When 20 callers send the request "slow GET" and close their sockets
    Then the daemon has closed their connections within 3 s
    And the daemon still serves its keys and has logged no internal error
