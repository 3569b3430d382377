Feature: starts on minions whose capacity shrinks and grows while they run

  Background:
    Given a fleet with minions "m1 m2" of 4 processors

  @capacity
  Scenario: a task starts on a minion that shrank while its plan was being stored
    Given job "a" of 8 tasks of 1 processors
    When the minions report
    And the scheduler plans
    And minions "m1 m2" have 1 processors
    And the plan is stored
    Then 2 starts were sent
    When 3 rounds pass
    Then 2 starts were sent in total
