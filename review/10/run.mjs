/**
 * The store comes back from a copy that is 5 s old; 5 s later the operator evacuates a zone, which was also evacuated and taken
 * back within the seconds that the store lost. Exits with 1 if requests reach servers of the zone later than `evacuate-ms` after
 * the acknowledgement.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bounds, Site, sleep } from '../stand-in-2/site.mjs'

const isTroubled = process.env.TROUBLE !== '0'
/** Requests a second of each kind, as on the sheet of Fleecebook. */
const rates = { 'roster-view': 4.86, 'book-gang': 12.2 }
const evacuatedZone = 'wis-a'
const host = 'hulo84.example'
const key = 'jnbanfqasnmgkcuyj8pj'

const configuration = (version, timeout) => ({
  version,
  routes: [
    { name: 'book-gang', host, 'path-prefix': '/filo73/', 'route-type': 'unsafe', service: 'xano55b', 'timeout-ms': timeout, 'latency-goal-ms': 300, priority: 2, 'max-attempts': 1 },
    { name: 'roster-view', host, 'path-prefix': '/boye614/', 'route-type': 'safe', service: 'xano55b', 'timeout-ms': timeout, 'latency-goal-ms': 300, priority: 2, 'max-attempts': 2 }
  ],
  services: [{ name: 'xano55b', 'max-conns': 52 }],
  tenants: [{ name: 'bozi300', 'api-keys': [key] }],
  limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
})

const site = new Site(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
let number = 0
let evacuatedAt
/** Requests that reached a server of the evacuated zone later than `evacuate-ms` after the acknowledgement. */
const late = []
let lateElsewhere = 0
let answered = 0

site.onRun = ({ id, zone }, { attempt, path }) => {
  const seconds = evacuatedAt === undefined ? -1 : site.now - evacuatedAt
  site.write(`server ${id} in ${zone} runs ${attempt} ${path}${seconds < 0 ? '' : `, ${seconds.toFixed(2)} s after the evacuation`}`)
  if (seconds * 1000 <= bounds['evacuate-ms']) return
  if (zone === evacuatedZone) late.push(seconds)
  else lateElsewhere += 1
}

async function request (kind) {
  number += 1
  const id = number.toString(16).padStart(16, '0')
  const entry = site.entries[number % site.entries.length]
  const isSafe = kind === 'roster-view'
  const path = isSafe ? `/boye614/gang-${number}` : '/filo73/bookings'
  const result = await site.attempt(entry, { host, method: isSafe ? 'GET' : 'POST', path, key, deadline: 1510, id, body: isSafe ? undefined : `booking ${number}` })
  if (result.status === 200) answered += 1
  site.write(`${kind} ${id} to ${entry.name}: ${result.status} after ${result.milliseconds} ms`)
}

/** The operator's write; the store's answer is the acknowledgement. */
function operator (name, value) {
  const offset = site.store.put('keyed.op', name, value)
  site.write(`operator: ${name} ${value === undefined ? 'removed' : JSON.stringify(value).slice(0, 40)}, at offset ${offset} of era ${site.store.era}`)
}

let exitCode = 2
try {
  await site.start(['ont-a', 'mich-a', 'wis-a'], configuration(7, 800))
  const places = [['ont-a', '127.0.2.1'], ['mich-a', '127.0.2.2'], ['wis-a', '127.0.2.3']]
  for (const [index, [zone, ip]] of places.entries()) await site.startServer(`i-${index + 1}`, { service: 'xano55b', zone, ip })
  await sleep(2500)
  const timers = Object.entries(rates).map(([kind, rate]) => setInterval(() => { request(kind) }, 1000 / rate))
  await sleep(3000)
  const copy = site.store.copy()
  await sleep(500)
  operator('config', configuration(8, 900))
  await sleep(500)
  operator('config', configuration(9, 800))
  await sleep(500)
  operator(`evacuate/${evacuatedZone}`, {})
  await sleep(1500)
  operator(`evacuate/${evacuatedZone}`, undefined)
  await sleep(1000)
  if (isTroubled) {
    site.write('the store is away')
    site.store.goAway()
    await sleep(1000)
    site.store.comeBackFrom(copy)
    site.write(`the store is back from the copy, in era ${site.store.era}`)
    // The operator writes again what is newest of what it wrote since; the servers do so with their next heartbeats.
    operator('config', configuration(9, 800))
    operator(`evacuate/${evacuatedZone}`, undefined)
    await sleep(5000)
  } else await sleep(6000)
  operator(`evacuate/${evacuatedZone}`, {})
  evacuatedAt = site.now
  await sleep(16_000)
  timers.forEach(timer => { clearInterval(timer) })
  await sleep(2000)
  const outer = late.filter(seconds => seconds * 1000 > bounds['evacuate-ms'] + bounds['outer-ms']).length
  const summary = `requests that reached servers in ${evacuatedZone} later than evacuate-ms: ${late.length}, ${outer} of them later than evacuate-ms + outer-ms; elsewhere ${lateElsewhere}; answered 200: ${answered}`
  site.write(summary)
  process.stdout.write(`${summary}\n`)
  const isBroken = late.length > 0
  site.write(isBroken ? 'EVAC is broken' : 'EVAC is kept')
  exitCode = answered < 100 ? 2 : isBroken ? 1 : 0
} catch (error) {
  process.stdout.write(`the case could not run: ${error.stack}\n`)
} finally {
  await site.close()
}
process.exit(exitCode)
