import { test } from 'tap'
import { configurationSpecification } from '../model/configuration.js'
import { confirmationSpecification } from '../model/confirmation.js'
import { explore } from '../model/explore.js'

const limit = 500_000
const walks = [
  { name: 'two nodes, a restart, an outage', bounds: { nodes: 2, restarts: 1, snapshots: 0, outages: 1, rival: 'same part' } },
  { name: 'one node, a restart, a snapshot with expiry', bounds: { nodes: 1, restarts: 1, snapshots: 1, outages: 0, rival: 'same part' } },
  { name: 'two nodes, a snapshot with expiry', bounds: { nodes: 2, restarts: 0, snapshots: 1, outages: 0, rival: 'whole' } },
  { name: 'a node, a restart, a snapshot with expiry, a rival that replaces the whole', bounds: { nodes: 1, restarts: 1, snapshots: 1, outages: 0, rival: 'whole' } }
] as const

for (const { name, bounds } of walks) {
  test(`no configuration reverts or forks and operators hear the truth: ${name}`, async t => {
    const found = explore(configurationSpecification(bounds, 'say unknown'), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
  })
}

test('the naive second append after a lost answer tells an operator that an accepted change was refused', async t => {
  const found = explore(configurationSpecification({ nodes: 0, restarts: 0, snapshots: 0, outages: 0, rival: 'same part' }, 'append again'), limit)
  t.equal(found.violation, 'an operator was told refused falsely')
  t.comment(`trace: ${found.trace.join(', ')}`)
})

test('no confirmation outlives the read that it rests on, two nodes that follow each other', async t => {
  const found = explore(confirmationSpecification(2, 'question'), limit)
  t.comment(`${found.states} states`)
  t.equal(found.violation, undefined, found.trace.join(', '))
})

test('a deadline that is naively counted from the arrival of the answer outlives the read', async t => {
  const found = explore(confirmationSpecification(2, 'arrival'), limit)
  t.equal(found.violation, 'a node relies on a configuration that nobody could confirm')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
