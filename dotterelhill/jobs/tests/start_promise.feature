Feature: accepted tasks start within their bounds, whoever leads

  Scenario: overlapping troubles leave an accepted task waiting, or running twice, although there is room
    When 30 random histories with troubles, new leaders and a calm end are played
    Then in none of them a start was overdue, a finite job did not end or a task ran twice
    And together they had at least 30 new leaders, 3000 starts and 50 stops
    And lasting runs were stopped for short tasks 50 times

  Scenario: a suspected task claims the only minion with room, so an overdue lasting task never starts
    Given a fleet with minions "m1" of 4 processors
    And job "s" of 1 task of 4 processors
    When 1 rounds pass
    And the minion of job "s" falls silent
    And minions "m2 m3" have 4 processors
    And job "b" of 1 task of 4 processors is submitted
    And job "a" of 1 task of 1 processors is submitted
    And 8 seconds pass in rounds
    And job "l" of 1 lasting task of 1 processors is submitted
    And 6 seconds pass in rounds
    Then job "l" has started

  Scenario: the claim of a suspected task uses up the isolated minions, so a suspected lasting task never starts
    Given a fleet with minions "m1" of 7 processors
    And job "s" of 1 task of 4 processors
    And job "l" of 1 lasting task of 1 processors
    When 1 rounds pass
    Then 2 starts were sent in total
    When the minion of job "s" falls silent
    And minions "m2 m3" have 4 processors
    And job "b" of 1 task of 4 processors is submitted
    And job "a" of 1 task of 1 processors is submitted
    And 9 seconds pass in rounds
    Then 2 starts of job "l" were sent

  Scenario Outline: an overdue lasting task waits beside room for two that short tasks and other lasting tasks pass on
    When the history of a fleet full of lasting tasks with short jobs is played, seed <seed>
    Then in none of them a start was overdue, a finite job did not end or a task ran twice
    And lasting runs were stopped for short tasks 30 times

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 5    |
      | 9    |
      | 14   |
      | 15   |
      | 21   |
      | 34   |
      | 103  |
      | 115  |
      | 132  |
