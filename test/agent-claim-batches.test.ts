import { test } from 'tap'
import { ClaimRegistry } from '../src/roles/agent/claims.js'
import { HttpLogClient } from '../src/transports/log-client.js'
import { digestBytes } from '../src/utils/digest.js'
import { LogStandIn } from '../stand-in/log.js'
import { eventually } from './fakes/world.js'

const claims = 2000
const waves = 10

test('claims are batched: far fewer appends than claims, and every key has one holder', async t => {
  const log = new LogStandIn()
  const { server, port } = await log.listen('127.0.0.1:0')
  const books = ['one', 'two'].map(instance => new ClaimRegistry(new HttpLogClient(`http://127.0.0.1:${port}`), 'claims-ledger', { instance, incarnation: instance, address: '' }))
  for (const book of books) book.start()
  await eventually(() => books.every(book => book.isAvailable))
  const started = Date.now()
  let held = 0
  for (let wave = 0; wave < waves; wave += 1) {
    const keys = Array.from({ length: claims / waves }, (_, index) => digestBytes(`${wave}/${index}`))
    const results = await Promise.all(books.map(async book => await Promise.all(keys.map(async key => await book.claim(key, digestBytes(''), Date.now() + 60_000)))))
    held += results.flat().filter(({ kind }) => kind === 'held').length
    t.ok(keys.every((_key, index) => results.filter(each => each[index]?.kind === 'held').length === 1))
  }
  t.comment(`${claims} keys claimed by two agents at once: ${log.appends} appends in ${Date.now() - started} ms`)
  t.equal(held, claims)
  t.ok(log.appends <= claims / 10, `${log.appends} appends`)
  for (const book of books) book.stop()
  server.closeAllConnections()
  server.close()
})
