/**
 * Stand-in of an application server, run as a process of its own: answers `safe` and `unsafe` requests after a work time,
 * with its signature, its load and the caller's attempt id, as PROTOCOL.md describes it. Argument: JSON with `id`, `address`
 * and `workMilliseconds`. `extraShare` is the share of the answers after which a faulty server sends a second one, which says that
 * it did not run the request, as a server does that sheds; it does so for 5 s of each 10 s from `extraFrom` on. Writes a line of JSON for each request that it runs.
 */
import { createServer } from 'node:http'

const { id, address, slots = 6, queue = 24, workMilliseconds = 60, extraShare = 0, extraFrom = 0, extraMilliseconds = 20 } = JSON.parse(process.argv[2] ?? '{}')
const [host, port] = address.split(':')
let running = 0
let runs = 0
const waiting = []

/** Whether the server is faulty now. */
function isFaulty () {
  const since = Date.now() - extraFrom
  return since >= 0 && since % 10_000 < 5000
}

function tell (event) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), server: id, ...event })}\n`)
}

/** Sends a second answer late, where the next one is expected. */
function sendExtra (socket, attempt) {
  setTimeout(() => {
    if (socket.destroyed) return
    tell({ event: 'extra', attempt })
    socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
  }, extraMilliseconds)
}

function startNext () {
  while (waiting.length > 0) {
    if (running >= slots) return
    waiting.shift()()
  }
}

const server = createServer((request, response) => {
  const attempt = request.headers['x-attempt-id']
  const chunks = []
  request.on('data', chunk => { chunks.push(chunk) })
  request.on('end', () => {
    response.setHeader('X-Attempt-Id', attempt ?? '')
    response.setHeader('X-Server-Load', `${running},${waiting.length},${slots}`)
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': id }).end()
      return
    }
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Instance-Id': id }).end()
      return
    }
    if (attempt === undefined) {
      response.writeHead(400, { 'X-Not-Executed': '1' }).end()
      return
    }
    if (running >= slots && waiting.length >= queue) {
      response.writeHead(503, { 'X-Not-Executed': '1' }).end()
      return
    }
    waiting.push(() => {
      if (response.destroyed) return
      running += 1
      runs += 1
      tell({ event: 'runs', attempt, method: request.method, path: request.url, tenant: request.headers['x-tenant'] })
      const timer = setTimeout(() => {
        running -= 1
        response.writeHead(200, { 'X-Server-Stamp': `${id}.${runs}`, 'content-type': 'text/plain' })
        response.end(`${id} ${attempt} ${'x'.repeat(760)}`)
        if (isFaulty() && Math.random() < extraShare) sendExtra(request.socket, attempt)
        startNext()
      }, workMilliseconds)
      response.on('close', () => {
        if (response.writableFinished) return
        clearTimeout(timer)
        running -= 1
        startNext()
      })
    })
    startNext()
  })
})
server.keepAliveTimeout = 10_000
server.listen(Number(port), host, () => { tell({ event: 'listens', pid: process.pid }) })
