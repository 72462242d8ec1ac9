Feature: The HTTP client delivers complete answers and sends no request twice

  Scenario Outline: An HTTP answer is complete, or it is a typed failure
    Given an HTTP peer that "<behaviour>"
    When the client sends one HTTP <method> with a timeout of <timeout> s
    Then the HTTP result is "<result>"
    And the peer received <requests> HTTP requests

    Examples:
      | behaviour                      | method | timeout | result                        | requests |
      | answers                        | GET    | 2       | 200 crest                     | 1        |
      | answers byte by byte           | GET    | 2       | 200 crest                     | 1        |
      | answers in chunks              | GET    | 2       | 200 crest                     | 1        |
      | answers 100 before 200         | GET    | 2       | 200 crest                     | 1        |
      | answers 204                    | GET    | 2       | 204                           | 1        |
      | answers a HEAD request         | HEAD   | 2       | 200                           | 1        |
      | answers 503 not run            | GET    | 2       | 503 x-not-run=1               | 1        |
      | ends the body early            | GET    | 2       | incomplete sent 3 of 5        | 1        |
      | ends the chunks early          | GET    | 2       | incomplete sent 5 of -1       | 1        |
      | ends within the head           | GET    | 2       | incomplete sent 0 of -1       | 1        |
      | ends without a declared length | GET    | 2       | incomplete sent 5 of -1       | 1        |
      | closes without an answer       | GET    | 2       | closed sent 0 of -1           | 1        |
      | answers in another protocol    | GET    | 2       | malformed sent 0 of -1        | 1        |
      | declares two lengths           | GET    | 2       | malformed sent 0 of -1        | 1        |
      | answers for another request    | GET    | 2       | malformed sent 0 of -1        | 1        |
      | declares too long a body       | GET    | 2       | malformed sent 0 of 999999999 | 1        |
      | sends headers without end      | GET    | 2       | malformed sent 0 of -1        | 1        |
      | holds the answer               | GET    | 0.1     | timeout sent 0 of -1          | 1        |
      | holds half of the answer       | GET    | 0.1     | timeout sent 3 of 5           | 1        |
      | does not listen                | GET    | 2       | refused not sent 0 of -1      | 0        |

  Scenario Outline: An HTTP connection is reused only after an answer that allows it
    Given an HTTP peer that "<behaviour>"
    When the client sends 4 HTTP requests one after the other
    Then the HTTP results are "200 crest; 200 crest; 200 crest; 200 crest"
    And the peer accepted <connections> HTTP connections

    Examples:
      | behaviour                 | connections |
      | answers                   | 1           |
      | answers in chunks         | 1           |
      | answers and asks to close | 4           |
      | answers in HTTP 1.0       | 4           |
      | answers twice             | 4           |
      | answers and closes        | 4           |

  Scenario: An idle connection that the peer closed is replaced before any byte is sent
    Given an HTTP peer that "answers"
    And one HTTP answer was received
    When the peer closes its HTTP connections and the client sends before it notices
    Then the HTTP result is "200 crest"
    And the peer received 2 HTTP requests

  Scenario: A request on a reused connection is not sent again once a byte was sent
    Given an HTTP peer that "answers, then closes without an answer"
    And one HTTP answer was received
    When the client sends one HTTP GET with a timeout of 2 s
    Then the HTTP result is "closed sent 0 of -1"
    And the peer received 2 HTTP requests

  Scenario: Requests beyond the connection limit wait, and the answers match
    Given an HTTP peer that "echoes the path"
    When the client sends 20 HTTP requests at once over at most 3 connections
    Then each HTTP answer carries the path of its own request
    And the peer accepted 3 HTTP connections

  Scenario: A request that waits for a connection ends at its timeout without being sent
    Given an HTTP peer that "holds the answer"
    When the client sends one HTTP request that holds the only connection and 2 that wait 0.1 s
    Then the HTTP results are "; timeout not sent 0 of -1; timeout not sent 0 of -1"
    And the peer received 1 HTTP requests

  Scenario Outline: A request that expired during a pause of the process is not sent
    Given an HTTP peer that "holds the answer"
    When the process pauses beside one HTTP request in flight and one that waits, and the peer "<acts>"
    Then the HTTP results are "<first>; timeout not sent 0 of -1"
    And the peer accepted 1 HTTP connections
    And the peer received 1 HTTP requests

    Examples:
      | acts         | first                |
      | answers      | 200 crest            |
      | does nothing | timeout sent 0 of -1 |

  Scenario: A request whose connection opened during a pause of the process is not sent after its timeout
    Given an HTTP peer that "answers"
    When the process pauses while one HTTP request opens its connection
    Then the HTTP result is "timeout not sent 0 of -1"

  Scenario: A connection that the peer resets just before the send is replaced
    Given an HTTP peer that "answers"
    And one HTTP answer was received
    When the peer resets its HTTP connections after the client checked them
    Then the HTTP result is "200 crest"
    And the peer received 2 HTTP requests

  Scenario: Without a free file descriptor a request fails once, as not sent
    When the client can open no socket for 2 HTTP requests and one is cancelled
    Then the HTTP results are "cancelled not sent 0 of -1; unreachable not sent 0 of -1"

  # Guards against a full target that is taken for an ended one, so that its keys are given away while it holds them.
  Scenario: A connection that the peer resets while it is opened is not reported as refused
    Given an HTTP peer that "answers"
    When the peer resets an HTTP connection before the client has seen it open
    Then the HTTP result is "unreachable not sent 0 of -1"

  Scenario: A cancelled request reports that once, and its late answer reaches nobody
    Given an HTTP peer that "answers late, then echoes the path"
    When the client cancels an HTTP request in flight and one that waits, and sends another
    Then the HTTP results are "cancelled sent 0 of -1; cancelled not sent 0 of -1; 200 /2"

  Scenario: A large request is sent whole
    Given an HTTP peer that "answers"
    When the client sends an HTTP body of 8000000 bytes
    Then the HTTP result is "200 crest"
    And the peer received the whole HTTP body

  Scenario Outline: An argument that would change the request on the wire is refused
    Given an HTTP peer that "does not listen"
    Then an HTTP request with <argument> "<value>" is refused by "<named>"

    Examples:
      | argument        | value          | named           |
      | header value    | a\r\nx: y      | headers         |
      | header value    | a\ny           | headers         |
      | header value    | Ā              | headers         |
      | header name     | content-length | headers         |
      | header name     | Host           | headers         |
      | path            | /a b           | path            |
      | path            | /ö             | path            |
      | path            | /a\r\nx: y     | headers         |
      | address         | localhost      | address         |
      | address         | 127.0.0.1:0    | address         |
      | address         | 127.0.0.1:x    | address         |
      | timeout         | 0              | timeout         |
      | max_connections | 0              | max_connections |

  Scenario: A failing callback does not keep another exchange from its timeout
    Given an HTTP peer that "holds the answer"
    When two HTTP requests time out together and the callback of each raises
    Then the HTTP results are "timeout sent 0 of -1; timeout sent 0 of -1"

  Scenario: Under any order of faults and cancellations each HTTP callback is called once with its own answer
    Then any order of faults and cancellations keeps the HTTP answers apart

  Scenario: A peer that drops resting connections without notice loses one request only
    Given a peer that resets a connection on which nothing came for 0.15 s
    When 6 requests are sent 0.3 s apart
    Then at most 1 of them is lost

  Scenario: Connections that rest shortly are used again also after that
    Given a peer that resets a connection on which nothing came for 0.15 s
    When 3 requests are sent 0.3 s apart
    And 10 requests are sent 0.01 s apart
    Then at most 1 of them is lost
    And the last 10 of them took at most 2 connections

  Scenario: A reset after a while says nothing of connections that rest
    Given a peer that resets every third request after 0.1 s
    When 9 requests are sent 0.1 s apart
    Then at most 4 connections were used
