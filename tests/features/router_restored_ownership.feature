Feature: Ownership of keys is exclusive although the store was restored from a copy
  Guards against two owners of a key, and fencing tokens that go back, when rows and versions of the store go back.

  Scenario Outline: Fencing tokens rise although the store was restored from a copy <restores>
    Given 4 nodes whose targets hold keys
    When targets restart and the store is restored from a copy of before, <restores>
    Then every key has a holder within 20 s
    And no target has taken a key with a fencing token that an earlier holder had

    Examples:
      | restores |
      | once     |
      | twice    |

  Scenario: Fencing tokens rise although no process remembers those of the lost writes
    Given 4 nodes whose targets hold keys
    When targets restart, and all daemons restart while the store is restored from a copy of before
    Then every key has a holder within 20 s
    And no target has taken a key with a fencing token that an earlier holder had

  Scenario: Tokens of an era are larger than those that any number of lost writes of earlier eras gave out
    Then a ring that enters the eras 2 to 9 gives out larger tokens than the eras before could

  Scenario: A ring row of an earlier release is read
    Then a ring row that an earlier release wrote is read as one of no known era

  Scenario Outline: A lease that a restored store <lacks> is not taken over
    Given 4 nodes whose targets hold keys
    When the store is restored from a copy that <lacks> the lease of a node that is cut off for <seconds> s
    Then the target of that node keeps its keys for 4 s, and no other gets them
    And every key has a holder within <bound> s

    Examples:
      | lacks       | seconds | bound |
      | lacks       | 1       | 10    |
      | lacks       | 30      | 20    |
      | has expired | 1       | 10    |
      | has expired | 30      | 20    |

  Scenario: A stripe moved after the copy is not granted to its former owner
    Given 4 nodes whose targets hold keys
    When a node hands 20 stripes to another, and the store is restored from a copy of before
    Then the new owner holds the stripes without interruption for 15 s, with the tokens that it had
    And every node has the ring that gives the stripes to the new owner

  Scenario: A stripe moved after the copy stays with its new owner when the former owner's daemon restarts
    Given 4 nodes whose targets hold keys
    When a node hands 20 stripes to another, and the store is restored from a copy of before
    And the daemon of one node is killed and restarted
    Then the new owner holds the stripes without interruption for 15 s, with the tokens that it had

  Scenario: A node that alone knows of a move after the copy writes it again
    Given 4 nodes whose targets hold keys
    When a node that no other hears of takes the keys of a restarted target, and the store is restored
    Then every key has a holder within 14 s
    And no target has taken a key with a fencing token that an earlier holder had

  Scenario: Keys stay held when a restored store has lost nothing of the ring
    Given 4 nodes whose targets hold keys
    When the store turns all away for 2 s and is restored from a copy 5 s old
    Then every key is held without interruption for 20 s

  Scenario: A ring that the copy lacks is written again and not created anew
    Given 4 nodes whose targets hold keys
    When the store is restored from its first copy
    Then every key is held without interruption for 20 s
    And the stored ring assigns the stripes as before

  Scenario: Targets that start long after a restore get their keys as soon as ever
    Given 4 nodes whose targets hold keys
    When the store turns all away for 2 s and is restored from a copy 5 s old
    And 15 s later all VMs lose power and come back
    Then every key has a holder within 6 s

  Scenario: Many owners whose leases ended before a restore get new tokens by few writes
    Given 40 nodes whose targets hold keys
    When the store turns all away for 14 s and is restored from a copy 5 s old
    Then every key has a holder within 14 s

  Scenario: Many owners that each lost some stripes in a restore get new tokens by few writes
    Given 40 nodes whose targets hold keys
    When each node has begun to hand 12 stripes over when the store is restored
    Then every key has a holder within 14 s

  Scenario: The clock of a restored store does not lengthen a lease
    Then 20 restores with a clock that jumps by up to 30 s give no key two holders

  Scenario: A write of an earlier era that takes effect late does not replace a ring of the new era
    Given 4 nodes whose targets hold keys
    When a write of the ring is held up while the store is restored, and the version it names is given out again
    Then the write does not take effect

  Scenario: A stripe moved after the copy is not granted to its former owner by a ring of an earlier release
    Given 4 nodes whose targets hold keys
    When an earlier release wrote the ring, stripes move, and all daemons restart while the store is restored
    Then every key has a holder within 20 s
    And no target has taken a key with a fencing token that an earlier holder had

  Scenario: A row whose key is another spelling of an era does not end its settling period
    Given 4 nodes whose targets hold keys
    When the store is restored, and another writer leaves a row "era/02" of long ago
    Then the era is recorded within 2 s, and still settles

  Scenario Outline: An era row that becomes <odd> does not stop rings from changing
    Given 4 nodes whose targets hold keys
    When the store is restored, its era row becomes <odd>, and all VMs lose power
    Then every key has a holder within 20 s
    And the store gets at most 300 writes meanwhile

    Examples:
      | odd        |
      | unreadable |
      | malformed  |

  Scenario: A late write of an earlier era does not shorten the row of a lease that is in use
    Given 4 nodes whose targets hold keys
    When a write of a lease is held up until its owner has written the lease again in the next era
    Then the owner never uses its lease for longer than its row says

  Scenario: No random schedule of restores and other faults gives two holders
    Then 40 random schedules of restores, kills, freezes, cuts and late writes give no key two holders
