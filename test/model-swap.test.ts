import { test } from 'tap'
import { explore } from '../model/explore.js'
import { exploreProgress } from '../model/progress.js'
import { checkThenActSpecification, isSwapDone, swapSpecification } from '../model/swap.js'

const limit = 2_000_000
const cases = [
  { name: 'two instances, one unavailable, a crash, out of turn', bounds: { instances: 2, allowed: 1, crashes: 1, overdue: true } },
  { name: 'three instances, one unavailable, in turn, a crash', bounds: { instances: 3, allowed: 1, crashes: 1, overdue: false } },
  { name: 'three instances, one unavailable, out of turn', bounds: { instances: 3, allowed: 1, crashes: 0, overdue: true } },
  { name: 'three instances, two unavailable, out of turn', bounds: { instances: 3, allowed: 2, crashes: 0, overdue: true } }
] as const

for (const { name, bounds } of cases) {
  test(`no more instances are unavailable than allowed: ${name}`, async t => {
    const found = explore(swapSpecification(bounds), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
    const progress = exploreProgress(swapSpecification(bounds), isSwapDone, limit)
    t.equal(progress.stuck, 0, 'every state can still reach the end of the swap')
  })
}

test('the naive check-then-act makes too many instances unavailable', async t => {
  const found = explore(checkThenActSpecification({ instances: 2, allowed: 1, crashes: 0, overdue: true }), limit)
  t.equal(found.violation, 'more instances are unavailable than allowed')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
