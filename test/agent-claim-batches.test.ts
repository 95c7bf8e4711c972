import { test } from 'tap'
import { ClaimRegistry } from '../src/roles/agent/claims.js'
import { HttpLogClient } from '../src/transports/log-client.js'
import { digestBytes } from '../src/utils/digest.js'
import { LogStandIn } from '../stand-in/log.js'
import { eventually } from './fakes/test-cluster.js'

const claimCount = 2000
const waveCount = 10

test('claims are appended in batches, and each key has exactly one holder', async t => {
  const log = new LogStandIn()
  const { server, port } = await log.listen('127.0.0.1:0')
  const registries = ['one', 'two'].map(instance => new ClaimRegistry(new HttpLogClient(`http://127.0.0.1:${port}`), 'claims-ledger', { instance, incarnation: instance, address: '' }))
  for (const registry of registries) registry.start()
  await eventually(() => registries.every(registry => registry.isAvailable))
  const startedAt = Date.now()
  let heldCount = 0
  for (let wave = 0; wave < waveCount; wave += 1) {
    const keys = Array.from({ length: claimCount / waveCount }, (_, index) => digestBytes(`${wave}/${index}`))
    const results = await Promise.all(registries.map(async registry => await Promise.all(keys.map(async key => await registry.claim(key, digestBytes(''), Date.now() + 60_000)))))
    heldCount += results.flat().filter(({ kind }) => kind === 'held').length
    t.ok(keys.every((_key, index) => results.filter(each => each[index]?.kind === 'held').length === 1))
  }
  t.comment(`${claimCount} keys claimed by two agents at once: ${log.appends} appends in ${Date.now() - startedAt} ms`)
  t.equal(heldCount, claimCount)
  t.ok(log.appends <= claimCount / 10, `${log.appends} appends`)
  for (const registry of registries) registry.stop()
  server.closeAllConnections()
  server.close()
})
