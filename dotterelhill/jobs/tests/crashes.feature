Feature: tasks that crash each minion that starts them

  Background:
    Given a fleet with minions "m1 m2 m3 m4" of 8 processors, on which deadly tasks crash their minion

  @known-red
  Scenario: a task that crashes the minions that start it is started again and again
    Given deadly job "x" of 1 task of 1 processors
    And innocent job "a" of 12 tasks of 1 processors
    When 30 seconds pass with crashes
    Then no deadly task was started more than twice after 3 crashes
    And job "x" is shown as "failed"
    And job "a" is shown as "completed"
