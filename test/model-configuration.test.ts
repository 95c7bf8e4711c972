import { test } from 'tap'
import { configurationSpecification } from '../model/configuration.js'
import { confirmationSpecification } from '../model/confirmation.js'
import { explore } from '../model/explore.js'

const limit = 500_000
const cases = [
  { name: 'two nodes, a restart, an outage', bounds: { nodes: 2, restarts: 1, snapshots: 0, outages: 1, competingChange: 'same scope' } },
  { name: 'one node, a restart, a snapshot with expiry', bounds: { nodes: 1, restarts: 1, snapshots: 1, outages: 0, competingChange: 'same scope' } },
  { name: 'two nodes, a snapshot with expiry', bounds: { nodes: 2, restarts: 0, snapshots: 1, outages: 0, competingChange: 'replace' } },
  { name: 'a node, a restart, a snapshot with expiry, a competing change that replaces the configuration', bounds: { nodes: 1, restarts: 1, snapshots: 1, outages: 0, competingChange: 'replace' } }
] as const

for (const { name, bounds } of cases) {
  test(`no configuration reverts or forks and operators receive true outcomes: ${name}`, async t => {
    const found = explore(configurationSpecification(bounds, 'report unknown'), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
  })
}

test('the naive second append after a lost answer reports an accepted change as refused', async t => {
  const found = explore(configurationSpecification({ nodes: 0, restarts: 0, snapshots: 0, outages: 0, competingChange: 'same scope' }, 'append again'), limit)
  t.equal(found.violation, 'an operator received a false refused')
  t.comment(`trace: ${found.trace.join(', ')}`)
})

test('no confirmation outlives the read that it is based on, with two nodes that follow each other', async t => {
  const found = explore(confirmationSpecification(2, 'question'), limit)
  t.comment(`${found.states} states`)
  t.equal(found.violation, undefined, found.trace.join(', '))
})

test('a confirmation that is naively counted from the arrival of the answer outlives the read', async t => {
  const found = explore(confirmationSpecification(2, 'arrival'), limit)
  t.equal(found.violation, 'a node relies on a configuration that no node could confirm')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
