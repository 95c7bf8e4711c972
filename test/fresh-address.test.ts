/** Test processes that run at the same time listen on different IPs: many of their servers share one port. */
import { test } from 'tap'
import { loopbackAddress } from '../script/launch.js'

const cases: readonly { readonly name: string, readonly first: readonly [processId: number, number: number], readonly second: readonly [processId: number, number: number] }[] = [
  { name: 'of one process', first: [1000, 0], second: [1000, 1] },
  { name: 'of processes that follow one another', first: [1000, 0], second: [1001, 0] },
  { name: 'of processes whose ids differ by a multiple of the second octets', first: [1000, 0], second: [1250, 0] },
  { name: 'of such processes, with many addresses', first: [1000, 250], second: [1250, 0] }
]

for (const { name, first, second } of cases) {
  test(`fresh addresses: the IPs differ: ${name}`, async t => {
    const [firstIp, secondIp] = [loopbackAddress(...first), loopbackAddress(...second)].map(address => address.split(':')[0])
    t.not(firstIp, secondIp)
  })
}

test('fresh addresses: octets stay in range', async t => {
  for (const number of [0, 249, 4000, 100_000]) {
    for (const processId of [1, 3999, 4_194_303]) {
      const octets = (loopbackAddress(processId, number).split(':')[0] ?? '').split('.').map(Number)
      t.ok(octets.every(octet => octet >= 0 && octet <= 255), octets.join('.'))
    }
  }
})
