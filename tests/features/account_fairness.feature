Feature: No client account is starved where a service is full
  Guards against small accounts, or accounts of low priority, that a full target never serves.

  Scenario Outline: Accounts at a target that gets <times> times what it can serve, where <case>
    Given a target with 6 slots that takes 0.1 s for a request
    When <times> times its capacity is asked for by a large account and 20 small ones, where <case>
    Then each account is served at least a quarter as often as all accounts
    And at least 90 in 100 of its capacity are used

    Examples:
      | times | case                               |
      | 1.5   | all have the same priority         |
      | 3     | all have the same priority         |
      | 1.5   | the large one has a higher priority |
      | 3     | the large one has a higher priority |
      | 3     | the small ones have a higher priority |
      | 2     | each has another priority          |

  Scenario: A target that serves all requests draws none
    Given a target with 6 slots that takes 0.1 s for a request
    When 0.5 times its capacity is asked for by a large account and 20 small ones, where each has another priority
    Then no request was drawn

  Scenario: Requests without an account are in no draw
    Given a receiver on a link of 1000000 bytes a second with 0 offered bodies
    When 50 requests without an account arrive
    Then the receiver has counted none for the draw, and orders them by their priority
