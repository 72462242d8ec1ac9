Feature: Signals that arrive as a process starts or ends do not take its requests with it
  Guards against processes that are ended by the default action of a signal, and against replies that are lost with them.

  # Guards against a router that is ended by a reload signal before it has begun to handle signals.
  Scenario: A router is not ended by a reload signal once its interpreter runs
    Given a program that gets SIGHUP while its first modules are imported
    When it is started by the command of the deployment
    Then it goes on to its main function

  # Guards against a daemon that is ended by a reload signal while its libraries are imported.
  Scenario: hibiscusdrumd is not ended by a reload signal while its libraries are imported
    Given a library of the daemon's command line that gets SIGHUP while it is imported
    When the daemon is started by its command
    Then it goes on to its main function

  # Guards against a planned stop that ends by a signal, because the interpreter has restored the default action.
  Scenario Outline: A process that has ended its work is not ended by <signal> before it returns its exit code
    Given a process that answers other nodes, and gets <signal> when its interpreter ends
    When it is told to stop
    Then its exit code is 0

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |

  # Guards against replies that are dropped because a signal interrupts the wait for their transmission.
  Scenario Outline: Replies to another node that does not read for a while survive <signal> during the end of the process
    Given a process that answers other nodes
    When another node asks it for 4 answers of 4 MB, it is told to stop, and it gets <signal> 3 times meanwhile
    Then the other node gets all answers when it begins to read, and the exit code is 0

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
