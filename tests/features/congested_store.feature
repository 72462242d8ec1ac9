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
