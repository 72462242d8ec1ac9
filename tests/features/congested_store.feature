Feature: A router uses the answers of its store over a congested link

  Scenario: The bytes of an answer of the store that is dropped part-way are counted and logged
    Given a store that closes the connection within its answer
    When the store is polled for changes
    Then the call has failed, and the received bytes of its answer are counted and logged

  Scenario: The feed of the stand-in of the store reports each version of a row in order
    Given a stand-in of the store
    When a row is written 3 times and then deleted
    Then a poll for changes returns 4 versions of it in order
    And a poll after a version that the stand-in has dropped reads the whole table

  Scenario: Answers that share a congested link all progress at its rate
    Given a stand-in of the store
    And a table of 400 rows of 250 bytes
    When 4 callers read it over a link of 400000 bytes per second
    Then no caller is answered after half of the time that the link needs for all of them
    And all of them are answered soon after that time

  Scenario: The stand-in of the store turns a share of its callers away
    Given a stand-in of the store
    When 20 callers read it while it turns 0.5 of the connections away
    Then between 1 and 19 of them are turned away

  Scenario Outline: An answer to a <call> that arrives slowly over a congested link is used, not dropped and asked for again
    Given a store whose answers a test sends byte by byte
    When a <call> is sent, and its answer arrives in <count> parts 0.9 s apart
    Then its answer is used, and the store has received 1 request

    Examples:
      | call             | count |
      | poll for changes | 12    |
      | read of a table  | 12    |
      | read of a row    | 12    |
      | commit           | 4     |

  Scenario Outline: A <call> whose connection is opened late has its time for the answer from then on
    Given a store whose answers a test sends byte by byte
    When a <call> is sent, and its connection is opened after <wait> s
    And the whole answer arrives <wait> s later
    Then its answer is used, and the store has received 1 request

    Examples:
      | call             | wait |
      | poll for changes | 3.4  |
      | read of a table  | 1.4  |
      | read of a row    | 1.4  |
      | commit           | 1.4  |

  Scenario Outline: An answer to a <call> that has arrived during a pause of the process is used
    Given a store whose answers a test sends byte by byte
    When a <call> is sent, and its answer arrives while the process pauses for <pause> s
    Then its answer is used, and the store has received 1 request

    Examples:
      | call             | pause |
      | poll for changes | 3.6   |
      | read of a row    | 1.6   |
      | commit           | 1.6   |

  Scenario Outline: A <call> ends when nothing of its answer has arrived for <silence> s
    Given a store whose answers a test sends byte by byte
    When a <call> is sent, and <part> of its answer arrives
    Then it ends <silence> s later, and not 0.2 s earlier

    Examples:
      | call             | part    | silence |
      | poll for changes | nothing | 3.5     |
      | poll for changes | a part  | 3.5     |
      | read of a table  | nothing | 1.5     |
      | read of a row    | a part  | 1.5     |
      | commit           | nothing | 1.5     |
      | commit           | a part  | 1.5     |

  Scenario Outline: A <call> whose answer trickles ends after <limit> s
    Given a store whose answers a test sends byte by byte
    When a <call> is sent, and a byte of its answer arrives every 0.5 s
    Then it ends <limit> s later, and not 0.2 s earlier

    Examples:
      | call             | limit |
      | poll for changes | 15.0  |
      | read of a row    | 15.0  |
      | commit           | 4.0   |

  Scenario: A request to a target ends at its deadline although its answer arrives
    Given a store whose answers a test sends byte by byte
    When a target is asked with a deadline of 1.5 s, and its answer comes in 4 parts 0.9 s apart
    Then it has ended with a timeout

  Scenario Outline: After a connection that took long to open, a <call> waits for as long as the path needs
    Given a store whose answers a test sends byte by byte
    When a poll for changes is sent, and its connection is opened after 1.4 s
    And the whole answer arrives 0.1 s later
    And the connection is lost, and a <call> is sent on another one
    And the whole answer arrives 2.0 s later
    Then its answer is used, and the store has received 2 requests

    Examples:
      | call            |
      | read of a table |
      | read of a row   |
      | commit          |

  Scenario: After a connection that took long to open, a poll for changes leaves the path time for its answer
    Given a store whose answers a test sends byte by byte
    When a poll for changes is sent, and its connection is opened after 1.4 s
    And the whole answer arrives 0.1 s later
    And the connection is lost, and a poll for changes is sent on another one
    Then the store is asked to wait for 1400 ms

  Scenario: A read of a table that failed waits longer for its connection the next time
    Given a store whose answers a test sends byte by byte
    When a read of a table is sent, and its connection is opened after 1.6 s
    And a read of a table is sent, and its connection is opened after 1.6 s
    And the whole answer arrives 1.6 s later
    Then its answer is used, and the store has received 1 request

  Scenario: A read of several pages goes on from the page that failed
    Given a stand-in of the store
    And a table of 1200 rows of 20 bytes
    When a caller reads it, and the connection of the second page is lost
    Then it has read 1200 rows with 4 requests

  Scenario: A read of several pages starts again if the store was restored when a page failed
    Given a stand-in of the store
    And a table of 1200 rows of 20 bytes
    When a caller reads it, and the store is restored while it loses the connection of the second page
    Then it has read 1200 rows with 6 requests
    And they are of era 2

  Scenario: A read whose page fails again and again ends
    Given a stand-in of the store
    And a table of 1200 rows of 20 bytes
    When a caller reads it, and the store refuses all calls after the first page
    Then the read has failed after at most 4 requests

  Scenario: Many nodes that read whole tables over a congested link all finish
    Given a stand-in of the store
    And a table of 600 rows of 200 bytes
    When 12 nodes read it over a link of 600000 bytes per second until each of them has it
    Then all of them have it within 12 s, and the link has carried it at most 1.5 times for each
