Feature: Attempts to start tasks that found no minion

  Scenario: A minion that a filler had claimed counts as unchanged since tasks last failed there
    Given a fleet with minions "m1" of 4 processors
    And the minions have 1 accelerators
    And tenant "" submits job "running" of 1 task of 1 processors and 1 accelerators
    When 1 rounds pass
    And tenant "" submits job "claiming" of 1 filler of 4 processors and 1 accelerators
    And 70 rounds pass
    And tenant "" submits job "short" of 1 task of 1 processors
    And 3 rounds pass
    Then 0 starts of job "short" were sent
    When job "claiming" is cancelled
    And 1 rounds pass
    Then 1 starts of job "short" were sent
