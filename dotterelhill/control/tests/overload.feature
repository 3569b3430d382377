Feature: a leader whose processor is too slow for the load

  Sending a call and reading an answer cost processor time and queue up, as on a VM with half a
  processor that leads a fleet of hundreds of minions.

  Background:
    Given a leader of 20 minions with processor time of 1 ms for each message

  @at-most-once @single-place
  Scenario: a slow leader takes its own delay for the silence of minions and starts their work again
    When the processor takes 10 ms for each message
    And 160 tasks of 1 second are submitted each second for 10 seconds
    Then no task that was done started again
    And no task lapsed in the cluster
    And no minion was taken for silent

  Scenario: repeated orders of a slow leader take the time in which work would be done
    When the processor takes 10 ms for each message
    And 20 tasks of 1 second are submitted each second for 10 seconds
    Then the number of done tasks is noted
    When 160 tasks of 1 second are submitted each second for 10 seconds
    Then at least 0.8 times as many tasks are done as noted

  Scenario: a leader stays slow for long after its processor is fast again
    When the processor takes 10 ms for each message
    And 160 tasks of 1 second are submitted each second for 6 seconds
    And the processor takes 1 ms for each message
    And 5 seconds pass in the cluster
    Then a task that is submitted now starts within 2.5 seconds

  @known-flaky
  Scenario: starts wait in the queue of the leader after they were planned
    When the processor takes 10 ms for each message
    And 160 tasks of 1 second are submitted each second for 10 seconds
    Then a start waits at most 1 second from its plan to its minion in the last 3 seconds

  Scenario Outline: a leader holds back starts although none of them queue up, because <cause>
    When <condition>
    And 160 tasks of 1 second are submitted each second for 10 seconds
    Then at least <count> tasks are done meanwhile

    Examples:
      | cause                           | condition                                       | count |
      | all minions are far away        | answers of 20 minions take 0.4 s                | 800   |
      | one relay is slow               | answers of 5 minions take 0.7 s                 | 1000  |
      | one minion fails at once        | m0 is not reached, answers of others take 0.4 s | 800   |

    @known-flaky
    Examples:
      | cause                           | condition                                       | count |
      | its rounds delay its event loop | each scheduling round takes 0.17 s of processor | 800   |

  Scenario: orders that queue up for long do not count beside some that fail at once
    When the processor takes 10 ms for each message
    And m0 is not reached, answers of others take 0 s
    And 160 tasks of 1 second are submitted each second for 10 seconds
    Then a start waits at most 1 second from its plan to its minion in the last 3 seconds

  Scenario: minions that are gone hold back the first polls of the others after a takeover
    Given a leader of 300 minions, 120 of them gone, with 0.4 ms for each message
    When another process has taken over for 1 second
    Then it has a report of each minion that is not gone

  Scenario: a slow leader that loads many jobs renews its claim too late and is succeeded by the next one
    Given 5 processes whose processors take 6 ms for each message and 16 ms for each job, and 250 jobs
    When all processes lose power and start again
    And 10 seconds pass in the cluster
    Then one process has claimed leadership at most 1 times and leads

  Scenario: a slow leader sends first polls faster than it can send renewals of its claim
    Given a leader of 300 minions, 0 of them gone, with 3 ms for each message
    When another process has taken over for 4 second
    Then it has renewed its claim at least each 0.9 seconds
    And it has a report of each minion that is not gone

  Scenario: a new leader polls minions too late because it takes the time of its plans for congestion
    Given a leader of 246 minions, 0 of them gone, with 0.4 ms for each message
    And each plan of a leader keeps its event loop for 0.2 s
    When another process has taken over for 2 second
    Then it has a report of each minion that is not gone

  Scenario: processes that can't finish loading in time succeed each other without end
    Given 5 processes whose processors take 6 ms for each message and 20 ms for each job, and 250 jobs
    And work is not divided into slices
    When all processes lose power and start again
    And 30 seconds pass in the cluster
    Then one process has claimed leadership at most 4 times and leads

  Scenario: a leader takes the time of its plans for a queue, since it reads no answers meanwhile
    Given a start window whose orders are answered after 0.1 s but read after plans of 0.8 s
    When it is used up for 10 rounds
    Then its limit has grown

  # In a burst the small twin of the large site asks for 256 starts a second of a process with 0.12
  # of a processor, which leaves 469 us for a task with its share of polls and rounds. The leader
  # executes 1.15 functions in a microsecond there. A count does not depend on other load.
  @known-flaky
  Scenario: a task costs the leader more work than the load of a large site leaves time for
    Given a leader with relays under the load of the small twin of a large site
    When its burst lasts for 10 seconds
    Then each task has cost it at most 540 executed functions
