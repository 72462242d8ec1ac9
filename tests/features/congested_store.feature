Feature: A router uses the answers of its store over a congested link

  Scenario: The bytes of an answer of the store that is dropped part-way are counted and logged
    Given a store that closes the connection within its answer
    When the store is polled for changes
    Then the call has failed, and the received bytes of its answer are counted and logged
