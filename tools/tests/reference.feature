Feature: Tables of the documentation

  Scenario: The operators' page lists the settings, metrics, error kinds and exit statuses of the code
    Given the page for operators
    Then its tables are those of the code
    And it has the tables settings, errors, statuses, metrics

  Scenario: The page of guarantees lists at least one scenario that tests each guarantee
    Given the page of guarantees
    Then its tables are those of the code
    And each invariant's table has at least one scenario

  Scenario: The glossary explains the terms of the code in both directions
    Given the glossary
    Then it explains each of: worker, failure domain, member, minion, lease, fencing token, evidence
    And both directions name the same terms
