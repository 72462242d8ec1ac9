Feature: What is only silent for a while is not taken for lost
  Guards against running work that is given up, or started again elsewhere, because its machine was paused or cut off.

  Scenario: A router that was paused reads the answers that came meanwhile before it judges its peers
    Given a router that sends an order and a read to a peer
    When the router is paused for 3 s, in which the peer answers both
    Then both are answered, and nothing was given up

  Scenario: An order at a silent peer is not given up
    Given a router that sends an order and a read to a peer
    When the peer is silent for 2.5 s, and then answers the order
    Then the read was given up after 1 to 1.5 s as one that may have run, and the order is answered

  Scenario: An order at a peer that was silent and has been started anew is given up
    Given a router that sends an order and a read to a peer
    When the peer is silent for 2 s, and then a new process of it answers a ping
    Then the order is given up as one that may have run

  Scenario: A request to a node for which no socket can be opened is known not to have been sent
    Given a transport that can open no further socket
    When a request and a control message are sent to a new address
    Then both return, and nothing of the request was sent
    When sockets can be opened again, and a node listens at the address
    Then a further request is sent to it

  Scenario: An order whose connection is lost is given up
    Given a router that sends an order and a read to a peer
    When the connection to the peer is lost
    Then the order is given up as one that may have run

  Scenario: Nothing is sent to a peer that is about to end, until it has been started anew
    Given a router that sends an order and a read to a peer
    When the peer declines the order as it is about to end
    And the peer answers the read
    Then a further request is not sent, and is known not to have run
    When the connection to the peer is lost, and made again
    Then a further request is sent

  Scenario: Nothing is sent to a peer that has announced its end
    Given a router that sends an order and a read to a peer
    When the peer announces its end
    And the peer answers the read
    Then a further request is not sent, and is known not to have run

  Scenario: A peer that was started anew while this process was paused is sent requests again
    Given a router that sends an order and a read to a peer
    When the peer declines the order as it is about to end
    And the router is paused for 2 s, in which the peer is started anew, and 6 s pass
    Then a further request is sent

  Scenario: An answer after a pause is sent when peers that replaced their connection meanwhile are connected again
    Given a router that sends an order and a read to a peer
    When an order of the peer is answered by the target as the router goes on after a pause of 2 s
    Then the answer is sent 0.05 to 0.2 s later, and one without a pause at once

  Scenario Outline: A <process> that was paused does not take its target for lost
    Given a <process> whose target reports each second
    When the process is paused for 8 s
    Then the target is not lost
    When the target is silent for 8 s
    Then the target is lost

    Examples:
      | process |
      | router  |
      | daemon  |
