Feature: limits of tenants

  Background:
    Given a fleet with minions "m1 m2" of 8 processors

  Scenario Outline: the runs of a tenant exceed its limit of <limit>
    Given the minions have 4 accelerators
    And the limit of tenant "t" is "<limit>"
    And tenant "t" submits job "a" of 6 <kind> of 2 processors and 1 accelerators
    When 3 rounds pass
    Then <count> starts were sent in total
    And no planned run was withheld

    Examples: processors, memory in MB, accelerators; 0 for no limit
      | limit  | kind          | count |
      | 4 0 0  | tasks         | 2     |
      | 5 0 0  | tasks         | 2     |
      | 1 0 0  | tasks         | 0     |
      | 0 350 0 | tasks        | 3     |
      | 0 0 1  | tasks         | 1     |
      | 0 0 0  | tasks         | 6     |
      | 4 0 0  | fillers       | 2     |
      | 4 0 0  | lasting tasks | 2     |
      | 11 0 0 | gang tasks    | 0     |
      | 12 0 0 | gang tasks    | 6     |

  Scenario: a run that may still exist does not count for its tenant
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 1 task of 2 processors
    When a round passes in which starts get no answer
    And tenant "t" submits job "b" of 1 task of 2 processors
    And 3 rounds pass
    Then 1 starts were sent in total
    When the unanswered starts are carried out late
    And 3 rounds pass
    Then 1 starts were sent in total
    When tenant "t" cancels job "a"
    And 3 rounds pass
    Then 1 starts were sent in total
    And tenant "t" uses "2 100 0"

  Scenario: a run on a minion that does not respond stops counting before its lease has expired
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 1 task of 2 processors
    When 1 rounds pass
    And the minion of job "a" falls silent
    And tenant "t" submits job "b" of 1 task of 2 processors
    And 6.0 seconds pass in rounds
    Then 1 starts were sent in total
    When 1.0 seconds pass in rounds
    Then 2 starts were sent in total

  Scenario: a new leader starts tasks of a tenant before it counts its runs on unlisted minions
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 1 task of 2 processors
    And tenant "t" submits job "b" of 1 task of 2 processors
    When 1 rounds pass
    And a new leader that lists no minion takes over
    And minion "m1" is listed again
    And 3 rounds pass
    Then 1 starts were sent in total
    And tenant "t" uses "2 100 0"

  Scenario: runs are stopped or started when a limit is lowered below the running work
    Given the limit of tenant "t" is "6 0 0"
    And tenant "t" submits job "a" of 4 tasks of 2 processors
    When 2 rounds pass
    And the limit of tenant "t" becomes "3 0 0"
    And 2 rounds pass
    Then 3 starts were sent in total
    And no stop was sent
    When one task of job "a" ends as "done"
    And 2 rounds pass
    Then 3 starts were sent in total
    When one task of job "a" ends as "done"
    And one task of job "a" ends as "done"
    And 2 rounds pass
    Then 4 starts were sent in total

  Scenario Outline: a planned start is sent although the limit was lowered while it was being stored
    Given the limit of tenant "t" is "8 0 0"
    And tenant "t" submits job "a" of 3 <kind> of 2 processors
    When the minions report
    And the scheduler plans
    And the limit of tenant "t" becomes "4 0 0"
    And the plan is stored
    Then <count> starts were sent in total

    Examples:
      | kind       | count |
      | tasks      | 2     |
      | gang tasks | 0     |

  Scenario: an older version of the configuration raises a limit again
    Given tenant "t" submits job "a" of 4 tasks of 1 processors
    When version 5 with limit "2" of tenant "t" arrives
    And version 4 with limit "8" of tenant "t" arrives
    And 2 rounds pass
    Then 2 starts were sent in total
    When version 6 with limit "3" of tenant "t" arrives
    And 2 rounds pass
    Then 3 starts were sent in total

  Scenario: a tenant that is removed from the configuration has no limit any more
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 4 tasks of 1 processors
    When tenant "t" is removed from the configuration
    And 2 rounds pass
    Then 2 starts were sent in total

  Scenario: tasks of a tenant start before any configuration is known
    Given tenant "t" submits job "a" of 1 task of 1 processors
    When version 0 with limit "0" of tenant "t" arrives
    And a new leader that lists no minion takes over
    And minion "m1" is listed again
    And 2 rounds pass
    Then 0 starts were sent in total

  Scenario: lasting tasks of a tenant at its limit claim minions that others could use
    Given the limit of tenant "t" is "8 0 0"
    And tenant "t" submits job "a" of 3 lasting tasks of 8 processors
    When 7 seconds pass in rounds
    And tenant "u" submits job "b" of 8 tasks of 1 processors
    And 1 rounds pass
    Then 8 starts of job "b" were sent
    And the wait of job "a" is explained by the limit of its tenant

  Scenario: short tasks that a limit does not allow reserve capacity against lasting tasks
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 20 tasks of 1 processors
    And tenant "u" submits job "b" of 1 lasting task of 5 processors
    When 1 rounds pass
    Then 1 starts of job "b" were sent

  Scenario: operators can't tell from the log that a tenant is at its limit
    Given the limit of tenant "t" is "2 0 0"
    And tenant "t" submits job "a" of 4 tasks of 1 processors
    When 5 rounds pass
    Then the decisions about tenants are "tenant is at its limit"
    When one task of job "a" ends as "done"
    And 5 rounds pass
    Then the decisions about tenants are "tenant is at its limit"
    When all tasks of job "a" end as "done"
    And 2 rounds pass
    And all tasks of job "a" end as "done"
    And 2 seconds pass in rounds
    Then the decisions about tenants are "tenant is at its limit, tenant is below its limit"

  Scenario Outline: operators can't tell from the log that a task can never start
    Given the limit of tenant "t" is "<limit>"
    And tenant "t" submits job "a" of 2 gang tasks of 2 processors
    When 5 rounds pass
    And the limit of tenant "t" becomes "3 0 0"
    And 5 rounds pass
    Then the decisions about tenants are "<expected>"

    Examples:
      | limit | expected                                                                                                  |
      | 4 0 0 | task exceeds the limit of its tenant and waits                                                            |
      | 2 0 0 | task exceeds the limit of its tenant and waits, task exceeds the limit of its tenant and waits             |

  Scenario Outline: usage kept from start to end differs from what the jobs show
    Given a fleet with minions "m1 m2 m3" of 4 processors
    And the limit of tenant "t" is "5 0 0"
    And the limit of tenant "u" is "0 500 0"
    Then usage equals its recomputation in 400 rounds of random events, seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
