Feature: Tables of the pages

  Scenario: The page would lag behind the settings, metrics, error kinds or exit statuses
    Given the page for operators
    Then its tables are those of the code
    And it has the tables settings, errors, statuses, metrics

  Scenario: A guarantee would be listed without the scenarios that prove it
    Given the page of guarantees
    Then its tables are those of the code
    And each invariant's table has at least one scenario

  Scenario: A term of the code would be missing from the glossary
    Given the glossary
    Then it explains each of: worker, failure domain, member, minion, lease, fencing token, evidence
    And both directions name the same terms
