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

  Scenario Outline: A node whose parent is <fault> has the ring from another node or the store within 1 s
    Given 24 nodes in two regions whose targets hold keys
    When the ring is written once while the parent of a node is <fault>
    Then that node knows the ring within 1 s of the notice of it

    Examples:
      | fault     |
      | silent    |
      | restarted |
      | paused    |
      | cut off   |

  Scenario: Nodes that the store turns away have the ring from their peers
    Given 24 nodes in two regions whose targets hold keys
    When the ring is written while the store turns reads of half of a region away, those of both roots too
    Then all nodes know the ring within 3 s

  Scenario Outline: A copy of a ring <defect> is not applied
    Given 4 nodes whose targets hold keys
    When a peer answers with a copy of a ring <defect>
    Then the node keeps the ring that it knows and has the stored one within 1.5 s

    Examples:
      | defect                      |
      | that cannot be decoded      |
      | of an earlier era           |
      | older than the known one    |
      | that nobody asked for       |

  Scenario: A request for a ring from another region is not answered
    Given 24 nodes in two regions whose targets hold keys
    When a node asks one of the other region for the ring
    Then it gets no ring

  Scenario: A ring that an earlier release writes without its notice is neither lost nor unknown
    Given 24 nodes in two regions whose targets hold keys
    When an earlier release writes the ring without its notice
    Then all nodes know the ring within 12 s
    And no write that an earlier release made is undone
