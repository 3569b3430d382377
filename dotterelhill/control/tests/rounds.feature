Feature: what begins a scheduling round of the leader

  Rounds that nothing else begins are far apart here, so that a wait for the next one shows.

  Background:
    Given a leader of 4 minions with processor time of 0 ms for each message
    And rounds of the leader are 5 seconds apart if nothing begins one

  Scenario: each report of a minion costs a round although it changes nothing for placement
    When 20 tasks of 60 seconds are submitted and run for 1 second
    And 4 seconds pass while rounds are counted
    Then at least 10 reports and at most 1 round were counted

  Scenario Outline: tasks wait for the next regular round although <cause>
    When 32 tasks of <length> seconds are submitted and run for <begin> seconds
    And <event>
    And 1 task is submitted
    And <event after>
    Then the task starts within <seconds> seconds

    Examples:
      | cause                   | length | begin | event              | event after        | seconds |
      | they arrive             | 1      | 2     | nothing happens    | nothing happens    | 0.2     |
      | runs have ended         | 1      | 0.5   | nothing happens    | nothing happens    | 0.8     |
      | their start was refused | 1      | 2     | a start is refused | nothing happens    | 0.3     |
      | a minion is new         | 60     | 0.5   | nothing happens    | a minion is listed | 1       |

  Scenario: tasks that the limit of starts in progress held back wait for the next regular round
    Given the leader has at most 4 starts in progress
    When 32 tasks of 60 seconds are submitted and run for 1 second
    Then all of them have started

  Scenario: a leader that is stopped leads on and stores no resignation, since a round was due then
    When 20 tasks of 1 seconds are submitted and run for 2 seconds
    And the leader is told to stop at the moment when something begins a round
    Then its resignation is stored within 0.5 seconds
