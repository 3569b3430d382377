Feature: load of tenants, by which entry processes admit jobs

  Background:
    Given a fleet with minions "m1 m2" of 8 processors

  Scenario Outline: tasks that wait for <reason> are told as lack of capacity or not
    Given the limit of tenant "t" is "<limit>"
    And tenant "<other>" submits job "o" of <load> tasks of 1 processors
    And tenant "t" submits job "a" of 2 tasks of <cpu> processors
    And tenant "t" submits job "b" of 1 gang tasks of <cpu> processors
    When 2 rounds pass
    Then the load of tenant "t" has is_short <short> and waits_for_capacity <waits>

    Examples:
      | reason                     | limit | other | load | cpu | short | waits |
      | nothing                    | 0 0 0 | u     | 1    | 1   | False | False |
      | capacity                   | 0 0 0 | u     | 16   | 8   | True  | True  |
      | nothing, while others wait | 0 0 0 | u     | 16   | 1   | True  | False |
      | capacity beside no tenant  | 0 0 0 |       | 16   | 1   | True  | True  |
      | the limit                  | 1 0 0 | u     | 1    | 1   | False | False |
      | the limit on a short fleet | 1 0 0 | u     | 17   | 2   | True  | False |
      | a minion that is too small | 0 0 0 | u     | 1    | 9   | False | False |

  Scenario: tasks that wait for the window of starts are told as lack of capacity
    Given each of "t" submits 9 jobs of 1 tasks
    When the minions report
    And a round with at most 2 starts passes
    Then the load of tenant "t" has is_short False and waits_for_capacity False
    And the gauges have 1 labels, 2 running and 7 waiting tasks, and a share of 2 of 16

  Scenario: a service without minions is told as having capacity
    Given tenant "t" submits job "a" of 1 task of 1 processors
    When minions "m1 m2" are no longer listed
    And 1 rounds pass
    Then the load of tenant "t" has is_short True and waits_for_capacity True

  Scenario: the rate of arrivals is off, or counts jobs that an earlier leader got
    Given each of "t" submits 20 jobs of 1 tasks
    When 1 rounds pass
    Then tenant "t" has arrivals of 0.0 to 0.0 and starts of 5.0 to 5.5 a second
    When tenant "t" submits 4 jobs a second for 12 seconds
    Then tenant "t" has arrivals of 3.6 to 4.4 and starts of 0.0 to 0.3 a second
    When 20 seconds pass in rounds
    Then tenant "t" has arrivals of 0.0 to 0.0 and starts of 0.0 to 0.0 a second

  Scenario: a backlog of jobs whose starts are refused counts as started, so that a tenant is told to come back too early
    Given each of "t" submits 6 jobs of 1 tasks
    When 2 seconds pass in rounds in which starts are refused
    Then tenant "t" has 6 waiting jobs
    And tenant "t" has arrivals of 0.0 to 0.0 and starts of 0.0 to 0.0 a second
    When a new leader takes over
    And a round with at most 0 starts passes
    Then tenant "t" has 6 waiting jobs
    When 5 seconds pass in rounds
    Then tenant "t" has 0 waiting jobs

  Scenario: jobs that began under an earlier leader count as starts of a new one
    Given each of "t" submits 6 jobs of 1 tasks
    When 1 rounds pass
    And a new leader takes over
    And 1 rounds pass
    Then tenant "t" has 0 waiting jobs
    And tenant "t" has arrivals of 0.0 to 0.0 and starts of 0.0 to 0.0 a second

  Scenario: a backlog of a tenant is expected to drain far sooner or later than it does
    Given each of "t u" submits 40 jobs of 1 tasks
    When the oldest run ends every 0.2 seconds for 6 seconds
    Then the backlog of tenant "t" is expected to drain within 6 to 8 seconds
    When 20 seconds pass in rounds
    Then the backlog of tenant "t" is expected to drain within 60 to 60 seconds

  Scenario: a job that no round has tried yet counts as a long backlog or as waiting for capacity
    Given the limit of tenant "t" is "0 0 0"
    When 1 rounds pass
    And tenant "t" submits job "a" of 1 task of 1 processors
    Then the backlog of tenant "t" is expected to drain within 0 to 1 seconds
    And the load of tenant "t" has is_short False and waits_for_capacity False

  Scenario: the metrics have a series for each of hundreds of tenants, or leave some out
    Given 200 tenants of which 60 submit 3 jobs of 1 tasks
    When 1 rounds pass
    Then the gauges have 50 labels, 16 running and 164 waiting tasks, and a share of 1 of 16

  Scenario: tenants without jobs for long are listed
    Given each of "a b c d" submits 1 jobs of 1 tasks
    When 1 rounds pass
    And all tasks on "m1" end as "done"
    And all tasks on "m2" end as "done"
    And 20 seconds pass in rounds
    Then there are loads of 0 tenants
