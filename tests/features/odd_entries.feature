Feature: An odd entry names nothing to use, and everything else holds
  Guards against processes that end, or stop following the store, because of one entry of another writer: nested too
  deeply, with numbers out of range, with fields missing or of another type, or with bytes that cannot be decoded.

  Scenario Outline: Each odd variant of <entry> is refused with a typed error
    Then each odd variant of "<entry>" is refused, and a sound one is accepted

    Examples:
      | entry                  |
      | a heartbeat            |
      | a notice of departure  |
      | a node row             |
      | a lease row            |
      | a ring row             |
      | a configuration        |
      | an answer of the store |

  Scenario: A message between nodes that is nested too deeply is refused with a typed error
    Then a message with a value nested 5000 deep is refused as an invalid frame

  # Guards against keys that are given away, or a target that is taken out of use, because of a report of another writer.
  Scenario: An odd report changes no state, and its sender is told which field is at fault
    Given a router's heartbeat endpoint, and a target that holds keys
    When each odd variant of a heartbeat and of a notice of departure arrives
    Then each is refused, and the answer names the field
    And the target is as it was

  Scenario: A heartbeat of a target whose name cannot be sent in a header is refused
    Then heartbeats of targets with odd names are refused

  Scenario: A very large range that a target releases does not occupy the process
    Given 3 nodes whose targets report
    When a target reports that it has released the keys 0 to 10000000
    Then no node keeps handover tokens for stripes that do not exist

  Scenario Outline: A node row with <fault> is not connected to, and the rows after it are followed
    Given a node that follows the rows of the store
    When another writer writes a node row with <fault>, and then a node joins
    Then the node that joined is known within 3 s, and the odd one is not

    Examples:
      | fault                     |
      | a value nested too deeply |
      | an empty peer address     |
      | port 99999                |
      | a name of another node    |

  Scenario Outline: Polls of <rows> go on after an answer with <fault>
    Given a node that follows the rows of the store
    When the store once answers a poll of <rows> with <fault>
    Then changes of <rows> are followed within 3 s

    Examples:
      | rows                | fault                         |
      | the node rows       | a value nested too deeply     |
      | the node rows       | a row that has no key         |
      | the operator's rows | a value nested too deeply     |
      | the operator's rows | a row that has no key         |

  Scenario Outline: Polls of <rows> go on after an exception while a change is applied
    Given a node that follows the rows of the store
    When applying one change of <rows> raises an exception
    Then changes of <rows> are followed within 3 s

    Examples:
      | rows                |
      | the node rows       |
      | the operator's rows |

  Scenario: A node row that becomes unreadable names no target any more
    Given a node that follows the rows of the store
    And another node that is known to it
    When another writer replaces the row of the other node by one that cannot be decoded
    Then the other node gets no requests within 3 s

  Scenario Outline: A node writes its own row again after it was replaced by <value>
    Given a node that follows the rows of the store
    When another writer replaces its own row by <value>
    Then its own row names its target again within 3 s

    Examples:
      | value                     |
      | null                      |
      | a value nested too deeply |
      | a row of another type     |

  Scenario: A configuration that cannot be decoded leaves the former one in force, and the next one is taken
    Given a node that follows the rows of the store
    When the operator's configuration is replaced by each odd variant in turn
    Then the former configuration holds, and a new one is in force within 3 s

  Scenario: Rows of other parts of a table are not those of nodes
    Given a node that follows the rows of the store
    When the store reports a sound node row of another part
    Then that row is not known, and changes of the node rows are followed within 3 s

  Scenario Outline: Keys keep one holder each when <row> is replaced by <value>
    Given 4 nodes that hold all keys
    When <row> is replaced by <value>
    Then within 25 s all keys are held, each by one target, and leases are renewed

    Examples:
      | row                | value                   |
      | a lease row        | a list                  |
      | a lease row        | an object without an end |
      | a lease row        | an end a year away      |
      | a node row         | an object without names |
      | a ring row         | a list                  |
      | a ring row         | bytes of another kind   |

  # Guards against a node that can never change the ring again, and so keeps its keys from everyone.
  Scenario Outline: Nodes whose claim rows were <change> change the ring again
    Given 4 nodes that hold all keys
    When all claim rows are <change>, and a target is restarted
    Then within 8 s all keys are held, each by one target, and leases are renewed

    Examples:
      | change   |
      | replaced |
      | deleted  |

  Scenario: A node whose lease row was replaced by an end a year away is taken over once it has ended
    Given 4 nodes that hold all keys
    When a VM ends, and its lease row is replaced by an end a year away
    Then within 25 s all keys are held, each by one target, and leases are renewed

  Scenario: Nodes that never knew the ring of a service wait while its row is unreadable
    Given 4 nodes that hold all keys
    When all VMs end, the ring row is replaced by bytes of another kind, and all VMs start again
    Then no key is held, and the ring is written at most 2 times in 15 s

  Scenario: An odd entry that is sent again and again is logged once and counted
    Given a router's heartbeat endpoint
    When the same odd heartbeat arrives 50 times, a second apart
    Then one line names the entry, and the metrics count 50

  Scenario: Numbers out of range in messages between nodes are refused with a typed error
    Then messages with keys, loads or rates out of range are refused as invalid frames

  Scenario: Frames that a router cannot use are logged, and the messages after them are read
    Given a router's connection to its peers
    When frames of unknown kinds, nested frames and control messages arrive, and then a ping
    Then the ping is answered, and a line names the invalid frames

  Scenario Outline: Leases and rings are written again after an exception in <callback>
    Given 4 nodes that hold all keys
    When <callback> raises once on each node, while a target restarts and a VM ends
    Then within 25 s all keys are held, each by one target, and leases are renewed

    Examples:
      | callback                          |
      | the read after a lease is written |
      | a listener of written rings       |
      | the change after a ring is read   |
      | a listener of changed nodes       |
      | a listener of granted keys        |
