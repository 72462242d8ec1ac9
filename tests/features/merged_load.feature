Feature: Faults that an independent review found in the merged work on hard load

  Scenario: A request whose quota is lifted while a token is asked for does not wait for its deadline
    Given a node that has asked the keeper of an account for a token
    When the quota of the account is lifted
    Then the waiting request is sent without a token

  Scenario: A link that was idle does not count as overloaded with its first large answer
    Given a link that was idle for 100 s and has just sent a small answer
    When a large answer is queued
    Then the link has been busy for less than 0.1 s

  # Guards against a run of a request that its caller was told had not run and never would.
  Scenario: A request that is withdrawn after it has waited for body room does not run later
    Given an upload for a key that waits for body room at its target
    When the target loses its keys, the upload is withdrawn, and the keys are granted again
    Then the upload was declined as not run and never sent

  Scenario: A pipelined order is dispatched also if memory runs short before the next turn
    Given a connection with two pipelined orders and more input that waits
    When the first is answered, and memory is short in the next turn
    Then the second order is dispatched

  Scenario: An answer that waits for the link is not taken for one that is not read
    Given a connection whose large answer has waited for the link for 4 s at the limit of connections
    Then the connection is not given up for another one

  # Guards against more runs in 5 s than rate, burst and tolerance allow, when a queue drains.
  Scenario Outline: The runs of an account stay within its quota when a stall of <seconds> s ends
    Given an account of 100 requests a second and a burst of 20 that sends 300 a second to one node
    When its requests with tokens wait for <seconds> s at their targets, and then run at 300 a second
    Then at most 592 of them run in any 5 s

    Examples:
      | seconds |
      | 0.3     |
      | 3       |
