Feature: accepted tasks start within their bounds, whoever leads

  Scenario: overlapping troubles leave an accepted task waiting, or running twice, although there is room
    When 30 random histories with troubles, new leaders and a calm end are played
    Then in none of them a start was overdue, a finite job did not end or a task ran twice
    And together they had at least 30 new leaders, 3000 starts and 50 stops
