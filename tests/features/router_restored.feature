Feature: A store that is restored from a copy is followed again, and what it lost is written again

  Scenario: A configuration written after the store was restored from a copy is followed
    Given a node that follows a store
    And the store was copied, and 20 rows were written since
    When the store is restored from the copy while the node cannot reach it
    And configuration 20 and 40 more rows are written before the node asks again
    Then configuration 20 is in force within 4 s

  Scenario: A node logs how many rows it knew newer when the store was restored
    Given a node that follows a store
    And the store was copied, and 20 rows were written since
    When the store is restored from the copy, and its rows are read
    Then 2 rows are logged as older than known, once

  Scenario: A configuration never goes back after the store was restored
    Given a node that follows a store
    And the store was copied, and configuration 15 was written since
    When the store is restored from the copy
    Then configuration 15 is in force after 4 s

  Scenario: A node that joins after the store was restored is a candidate
    Given a node that follows a store
    And the store was copied, and 20 rows were written since
    When the store is restored from the copy
    And the row of node "n7" is written
    Then node "n7" is a candidate within 4 s

  Scenario: A row written after the store was restored replaces the known one although its version is lower
    Given a node that follows a store
    And the store was copied, and the row of node "n7" was written since
    When the store is restored from the copy
    And the row of node "n7" is written, which accepts no requests
    Then node "n7" is no candidate within 4 s

  Scenario: A node whose row the restored store lacks is no candidate any more
    Given a node that follows a store
    And the store was copied, and the row of node "n7" was written since
    When the store is restored from the copy
    Then node "n7" is no candidate within 4 s

  Scenario: A node whose row a restored store lacks is a candidate once it has written its row again
    Given a node that follows a store
    And the store was copied, and the row of node "n7" was written since
    When the store is restored from the copy
    And after 3 s the row of node "n7" is written
    Then node "n7" is a candidate within 4 s

  Scenario Outline: A node writes its row again when the restored store has <stored>
    Given a node that follows a store
    And the store was copied when it had <stored>
    When the store is restored from the copy
    Then the store has the row of this node as it is now within 4 s

    Examples:
      | stored                                  |
      | no row of it                            |
      | a row that does not say that it leaves  |

  Scenario Outline: The row of a node that ends is removed when the store is restored <moment>
    Given a node that follows a store
    When the node ends, and the store is restored <moment>
    Then the store has no row of this node within 3 s

    Examples:
      | moment                  |
      | before it removes it    |
      | after it has removed it |

  Scenario: A node that was removed and that a restored store brings back gets no requests
    Given a node that follows a store
    And the store was copied when it had node "n7", whose row was removed since
    When the store is restored from the copy
    Then node "n7" is no candidate for 4 s
    And the row of node "n7" is deleted again

  Scenario: A node that was removed gets no requests when a restored store has an earlier row of it
    Given a node that follows a store
    And the store was copied before node "n7" drained and was removed
    When the store is restored from the copy
    Then node "n7" is no candidate for 4 s
    And the row of node "n7" is deleted again

  Scenario: A node that was removed gets no requests when the store is restored from the same copy twice
    Given a node that follows a store
    And the store was copied when it had node "n7", whose row was removed since
    When the store is restored from the copy
    Then node "n7" is no candidate for 4 s
    When the store is restored from the copy
    Then node "n7" is no candidate for 4 s
    And the row of node "n7" is deleted again

  Scenario: What is remembered of removed nodes is bounded
    Given a node that follows a store
    When 520 nodes join and are removed
    Then the rows of at most 501 other nodes are remembered

  Scenario: A node that lives and that a restored store brings back is a candidate when it has written its row
    Given a node that follows a store
    And the store was copied when it had node "n7", whose row was removed since
    When the store is restored from the copy
    And the row of node "n7" is written
    Then node "n7" is a candidate within 4 s
    And the row of node "n7" is not deleted

  Scenario: A target that has announced its departure gets no requests when the restored store does not know of it
    Given a node that follows a store
    And the store was copied before node "n7" announced that it leaves
    When the store is restored from the copy
    Then node "n7" is no candidate for 4 s

  Scenario: The rows of a restored store are read once, not over and over
    Given a node that follows a store
    And the store was copied, and 20 rows were written since
    When the store is restored from the copy
    Then each table is read completely at most 2 times within 3 s

  Scenario: The rows of a restored store that does not name its era are read once, not over and over
    Given a node that follows a store that does not name its era
    And the store was copied, and 20 rows were written since
    When the store is restored from the copy
    Then each table is read completely at most 2 times within 3 s

  Scenario: A store that answers every poll with 410 is not asked without a pause
    Given a node that follows a store
    When the store has no history any more
    Then each table is read completely at most 7 times within 3 s

  Scenario: An evacuation that the restored store lacks stays in force while the operator writes it again
    Given a node that follows a store
    And the store was copied, and failure domain "east-2" was evacuated since
    When the store is restored from the copy
    Then "east-2" counts as evacuated for 4 s
    And after the operator has written it again it counts as evacuated for 9 s

  Scenario: An evacuation that nobody writes again after the store was restored ends
    Given a node that follows a store
    And the store was copied, and failure domain "east-2" was evacuated since
    When the store is restored from the copy
    Then "east-2" does not count as evacuated within 9 s

  Scenario: An evacuation that the operator withdraws after the store was restored ends at once
    Given a node that follows a store
    And the store was copied, and failure domain "east-2" was evacuated since
    When the store is restored from the copy
    And after 1 s the operator writes the evacuation of "east-2" and withdraws it
    Then "east-2" does not count as evacuated within 1 s

  Scenario: An evacuation that was withdrawn and that a restored store brings back is not followed
    Given a node that follows a store
    And the store was copied when it had the evacuation of "east-2", which was withdrawn since
    When the store is restored from the copy
    Then "east-2" does not count as evacuated for 4 s

  Scenario: An evacuation that the operator begins after the store was restored is followed
    Given a node that follows a store
    And the store was copied when it had the evacuation of "east-2", which was withdrawn since
    When the store is restored from the copy
    And after 1 s the operator writes the evacuation of "east-2"
    Then "east-2" counts as evacuated within 1 s

  Scenario: After any changes and restores of the store, a node knows what is true
    Then in 20 random days with restores, nothing that was seen comes back and all that is true is known

  Scenario: A write under the version of a row from before the store was restored is a conflict
    Given a client of a store with a row "node/a"
    And the store was copied, and "node/a" was written since
    When the store is restored from the copy, and "node/a" has the same version again
    Then a write under the version that was read before is a conflict, and "node/a" is as it was
    And a write under the version that is read now succeeds

  Scenario: A write that was sent before the store was restored, and performed after it, is reported as unknown
    Given a client of a store with a row "node/a"
    When a write is on its way while the store is restored
    Then the write is reported as unknown

  Scenario Outline: A late answer to a <call> from before the store was restored is not used
    Given a client of a store with a row "node/a"
    When the answer to a <call> is held up while the store is restored and read
    Then the <call> has failed with the reason "unknown"

    Examples:
      | call  |
      | read  |
      | write |
      | poll  |

  Scenario: Pages from before and after the store was restored are not mixed
    Given a client of a store with 3 rows in pages of 2
    When the store is restored between the pages of a read
    Then the read returns the rows of the restored store

  Scenario: A poll that a restored store answers is replaced by a read of the whole table
    Given a client of a store with a row "node/a"
    When the store is restored while a poll waits, and gives out the version of the poll again
    Then the poll returns all rows of the restored store

  Scenario Outline: An era that is "<header>" is logged and changes nothing
    Given a client of a store with a row "node/a"
    When the store answers a read with the era "<header>"
    Then the row is read in the known era, and the header "<header>" is logged

    Examples:
      | header |
      | soon   |
      | -1     |
      | 1, 2   |

  Scenario Outline: A version of <number> is taken as no version
    Given a client of a store with a row "node/a"
    When the store's version becomes <number>
    Then a read fails as unreadable, and a write has an unknown outcome

    Examples:
      | number          |
      | -2              |
      | 281474976710656 |

  Scenario: A restored store is logged with both eras
    Given a client of a store with a row "node/a"
    When the store is restored twice and read
    Then the change from era 1 to 3 is logged once, with the newest version of era 1
