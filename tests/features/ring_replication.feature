Feature: Rings do not travel with the rows that all nodes poll
  Guards against rings that fill the link between two regions, so that configurations and leases are late.

  Scenario: Changes of a ring cost the polled table a few bytes each
    Given 24 nodes in two regions whose targets hold keys
    When 4 targets restart
    Then polls have returned at most 64 bytes for each write of the ring and node

  Scenario: A region reads two copies of a ring from the store however many nodes it has
    Given 24 nodes in two regions whose targets hold keys
    When the ring is written once
    Then all nodes know the ring within 1.5 s
    And no region has read the ring from the store more than 2 times

  Scenario: Writers of one moment do not collide again and again
    Given 24 nodes in two regions whose targets hold keys
    When each node has begun to hand 2 stripes over
    Then all stripes are handed over within 6 s
    And at most 1 of 2 transactions of the ring have conflicted
