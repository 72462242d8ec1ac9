Feature: Faults that an independent review found in the merged work on hard load

  Scenario: A request whose quota is lifted while a token is asked for does not wait for its deadline
    Given a node that has asked the keeper of an account for a token
    When the quota of the account is lifted
    Then the waiting request is sent without a token

  Scenario: A link that was idle does not count as overloaded with its first large answer
    Given a link that was idle for 100 s and has just sent a small answer
    When a large answer is queued
    Then the link has been busy for less than 0.1 s
