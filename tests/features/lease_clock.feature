Feature: A lease ends in time although the clocks of its node and of the store run at different rates
  Guards against an owner that serves its keys after another node may have taken them over.

  Scenario Outline: Over a month, an owner whose clock is <ppm> millionths fast never outlasts its lease
    Given a node whose clock runs <ppm> millionths faster than the store's
    When it renews its lease for a month, through outages, slow answers and a new clock of the store each week
    Then its lease never ends after another node may take over, and at least 0.999 of the renewals are in time

    Examples:
      | ppm   |
      | 0     |
      | 50    |
      | -50   |
      | 200   |
      | -200  |
