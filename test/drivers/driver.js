// Works over two hosts with the usual driver of Node.js: a query, a prepared
// query, a transaction rolled back and one committed, an error, and going on over
// the other host with the session's token. Prints "ok" at the end.
'use strict'
const assert = require('node:assert')
const { Client } = require('pg')

const [first, second, user, password, database] = process.argv.slice(2)

async function connect (address, token) {
  const [host, port] = address.split(':')
  const c = new Client({ host, port: Number(port), user, password, database })
  c.token = ''
  c.connection.on('parameterStatus', m => {
    if (m.parameterName === 'skylarkdeal.token') c.token = m.parameterValue
  })
  await c.connect()
  if (token) await c.query(`SET skylarkdeal.token = '${token}'`)
  return c
}

async function main () {
  const a = await connect(first)
  await a.query('put node-order cream')
  const prepared = { name: 'reader', text: 'get $1', values: ['node-order'] }
  for (let n = 0; n < 3; n++) {
    assert.equal((await a.query(prepared)).rows[0].value, 'cream')
  }
  await a.query('BEGIN')
  await a.query('put $1 $2', ['node-order', 'butter'])
  await a.query('ROLLBACK')
  assert.equal((await a.query(prepared)).rows[0].value, 'cream')
  await a.query('BEGIN')
  await a.query('put $1 $2', ['node-order', 'milk'])
  await a.query('COMMIT')
  await assert.rejects(a.query('drop everything'), { code: '42601' })

  const b = await connect(second, a.token)
  await b.query('SET default_transaction_read_only = on')
  assert.equal((await b.query(prepared)).rows[0].value, 'milk')
  await a.end()
  await b.end()
  console.log('ok')
}

main().catch(e => {
  console.error(e)
  process.exit(1)
})
