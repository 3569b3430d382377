Feature: shares of tenants that wait for capacity

  Background:
    Given a fleet with minions "m1 m2" of 8 processors

  Scenario Outline: a tenant takes more than its share of a full fleet (<tasks> tasks in a job)
    Given the weight of tenant "t" is <weight>
    And each of "t u" submits <jobs> jobs of <tasks> tasks
    When <rounds> rounds pass
    Then 16 starts were sent in total
    And the starts of tenants were "<starts>"

    Examples:
      | weight | jobs | tasks | rounds | starts   |
      | 1      | 40   | 1     | 1      | t 8 u 8  |
      | 1      | 1    | 40    | 1      | t 8 u 8  |
      | 3      | 40   | 1     | 1      | t 12 u 4 |
      | 3      | 2    | 20    | 3      | t 12 u 4 |

  Scenario: the share of only one resource is compared
    Given a fleet with minions "m1" of 9 processors
    And minion "m1" has 9 processors and 1800 MB
    And tenant "t" submits 9 jobs of 1 processors and 400 MB
    And tenant "u" submits 9 jobs of 3 processors and 100 MB
    When 1 rounds pass
    Then the starts of tenants were "t 3 u 2"

  Scenario Outline: the share of a tenant ranks before <what>
    Given tenant "t" submits job "a" of 8 tasks of 1 processors
    When 1 rounds pass
    And tenant "<other>" submits job "b" of 16 tasks of 1 processors on queue "<queue>"
    And <seconds> seconds pass
    And tenant "<last>" submits job "c" of 16 tasks of 1 processors
    And 1 rounds pass
    Then 8 starts of job "<first>" were sent

    Examples:
      | what                      | other | queue | seconds | last | first |
      | the priority of the queue | u     | long  | 0       | t    | c     |
      | jobs that can end in time | u     | short | 30      | t    | c     |
      | jobs without a tenant     | u     | short | 0       |      | c     |

  Scenario: a tenant loses its place among equal shares once its first job is known to fit nowhere
    Given a fleet with minions "m1" of 1 processors
    And tenant "t" submits job "big" of 1 task of 2 processors
    When 1 rounds pass
    And tenant "u" submits job "b" of 1 task of 1 processors
    And tenant "t" submits job "a" of 1 task of 1 processors
    And 1 rounds pass
    Then the starts of tenants were "t 1"

  Scenario: unused shares stay unused, or are reclaimed by stopping runs
    Given each of "t" submits 40 jobs of 1 tasks
    When 1 rounds pass
    Then the starts of tenants were "t 16"
    When each of "u" submits 40 jobs of 1 tasks
    And 1 rounds pass
    And 8 runs end and 2 rounds pass
    Then no stop was sent
    And the starts of tenants were "t 16 u 8"
    When 4 runs end and 2 rounds pass
    Then the starts of tenants were "t 16 u 12"

  Scenario: a new leader does not count what runs already for the shares
    Given each of "t" submits 40 jobs of 1 tasks
    When 1 rounds pass
    And a new leader takes over
    And 8 runs end and 1 rounds pass
    And each of "u" submits 40 jobs of 1 tasks
    And 8 runs end and 2 rounds pass
    Then the starts of tenants were "t 24 u 8"

  Scenario: idle tenants take part of the shares of others
    Given 200 tenants of which 50 submit 20 jobs of 1 tasks
    And minion "n1" has 100 processors and 64000 MB
    When 1 rounds pass
    Then each of the 50 tenants has 2 or 3 starts

  Scenario: what a tenant runs in one service lowers its share of another
    Given a minion "n1" of 4 processors in pool "other"
    And tenant "t" submits 8 jobs of 1 processors and 100 MB to pool "other"
    When 1 rounds pass
    And each of "t u" submits 20 jobs of 1 tasks
    And 1 rounds pass
    Then the starts of tenants were "t 12 u 8"
