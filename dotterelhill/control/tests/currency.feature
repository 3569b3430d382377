Feature: Age of the configuration in one process

  Scenario Outline: A new version is applied late because a connection stopped responding
    Given a process that follows the configuration over a store with <delay> s latency
    And the leader names versions to it: <link>
    When its connection to the store goes silent <after> s after a read began
    And version 2 is stored at the same moment
    Then version 2 is in force within <limit> s

    Examples:
      | delay | link | after | limit |
      | 0.005 | no   | 0.01  | 3.0   |
      | 0.005 | no   | 0.9   | 3.0   |
      | 0.32  | no   | 0.01  | 3.2   |
      | 0.005 | yes  | 0.01  | 1.5   |
      | 0.32  | yes  | 0.01  | 2.0   |

  Scenario: A large version that arrives slowly is requested again with each message of the leader
    Given a process that follows the configuration over a store with 2.5 s latency
    And the leader names versions to it: yes
    When version 2 is stored at the same moment
    Then version 2 is in force within 6.5 s
    And at most 1 read was aborted

  Scenario Outline: A large version is requested again, or from the leader, although it is arriving
    Given a process that follows the configuration over a store whose answers arrive for <delay> s
    And the leader names versions to it: yes
    When version 2 is stored at the same moment
    Then version 2 is in force within <limit> s
    And at most 0 read was aborted
    And it has asked the leader for 0 versions

    Examples:
      | delay | limit |
      | 1.2   | 2.5   |
      | 2.5   | 4.0   |

  Scenario: The leader's messages confirm a version that this process has not read
    Given a process that follows the configuration over a store with 0.005 s latency
    And the leader names versions to it: yes
    When the store answers this process no more
    And 6 seconds pass in the process
    Then its configuration was confirmed within the last 1.0 s
    When version 2 is stored at the same moment
    And 1 seconds pass in the process
    Then its configuration was confirmed more than 4.0 s ago
    And it has known of a newer version for 0.4 to 1.1 s

  Scenario: A process that was suspended serves with the configuration from before
    Given a process that follows the configuration over a store with 0.005 s latency
    And the leader names versions to it: no
    When it is suspended for 10 s while version 2 is stored
    And a request waits for a current configuration
    Then it was decided with version 2

  Scenario: Requests wait for a store that is known to be away
    Given a process that follows the configuration over a store with 0.005 s latency
    And the leader names versions to it: no
    When the store answers this process no more
    And 8 seconds pass in the process
    And a request waits for a current configuration
    Then it has waited for 0 s

  Scenario: A burst of versions hides how long the process has been behind
    Given a process that follows the configuration over a store with 0.005 s latency
    When the store answers this process no more
    And the leader names 40 versions to it, one each 0.1 s
    Then it has known of a newer version for 3.9 to 4.1 s

  Scenario Outline: A configuration that is followed all the time counts as old between two answers of the store
    Given a process that follows the configuration over a store with <delay> s latency
    When it follows the configuration for 6 s
    Then its configuration was never older than <limit> s

    Examples: where a version must be in force within 2.5 s, 2.0 s are left to know of it
      | delay | limit |
      | 0.005 | 2.0   |
      | 0.32  | 2.0   |

  Scenario: A configuration counts as current from the end of a poll that was answered early
    Given a process that follows the configuration over a store with 0.005 s latency
    When the store answers polls at once for 3 s and the process is silent after the last one
    Then its configuration is as old as that poll

  Scenario Outline: A process that the store turns away lacks a published version although others have read it
    Given 7 entry processes of 3 failure domains that are connected to a leader
    When the store is <trouble> for processes "<names>"
    And 1 seconds later a version with a new queue is published
    Then all processes have it in force within 4 s
    And no process has refused the new queue for good

    Examples: p0 leads
      | trouble         | names          |
      | silent          | p1 p4          |
      | down            | p1 p4          |
      | cut off         | p1 p2 p3 p4 p5 |
      | dead connection | p0 p1          |
      | silent          | p0             |
      | cut off         | p0 p1 p3       |

  Scenario: A process that neither reads the store nor reaches another one refuses a new queue for good
    Given 7 entry processes of 3 failure domains that are connected to a leader
    When the store is silent for processes "p1"
    And process "p1" reaches no other one
    And 1 seconds later a version with a new queue is published
    And 8 seconds pass in the fleet
    Then process "p1" says of the new queue "the configuration may be outdated"
    And process "p1" handles requests for the queues that it knows
    When all troubles of the fleet end
    Then all processes have it in force within 4 s

  Scenario: All processes copy a version from the leader although a process near them has it
    Given 9 entry processes of 3 failure domains that are connected to a leader
    When the store is silent for processes "p4 p5 p7 p8"
    And 1 seconds later a version with a new queue is published
    Then all processes have it in force within 4 s
    And the leader has sent 0 copies

  Scenario Outline: A process lacks a version, or refuses its queue for good, after troubles that a search has found
    When troubles of single paths are played with seeds <first> to <last>
    Then no fault was found

    Examples:
      | first | last |
      | 1     | 6    |
      | 7     | 12   |

  Scenario: A configuration is handed on to more processes at a time than the link of the sender carries
    Given a peer server that holds a configuration of 32 megabytes, version 3
    When 8 processes that hold version 2 ask for it at once and read slowly
    Then at most 4 get it at first, and the others are refused
    And a process that holds version 3 gets none
    And a process that holds version 2 gets the record of version 3
